import math

import pytest

from bulrushbend.core.rendezvous import RendezvousNames

KEYS = [f"{number:08x}" for number in range(20_000)]


def names(count: int) -> list[str]:
    return [f"i-{number:010x}" for number in range(count)]


def test_processes_with_the_names_in_another_order_choose_the_same_name():
    there, here = RendezvousNames(names(22)), RendezvousNames(reversed(names(22)))
    assert [there.choose(key) for key in KEYS] == [here.choose(key) for key in KEYS]


def test_only_the_keys_of_a_removed_name_get_another_one():
    every = RendezvousNames(names(6))
    others = RendezvousNames(names(5))
    gone = names(6)[-1]
    for key in KEYS:
        assert every.choose(key) in (others.choose(key), gone)


@pytest.mark.parametrize("count", [2, 3, 6, 39])
def test_no_name_is_chosen_for_far_more_keys_than_the_others(count):
    chooser = RendezvousNames(names(count))
    chosen = [chooser.choose(key) for key in KEYS]
    expected = len(KEYS) / count
    deviation = math.sqrt(expected * (1 - 1 / count))
    for name in names(count):
        assert abs(chosen.count(name) - expected) < 5 * deviation
