import itertools

import pytest

from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.leadership import PeerStatus
from bulrushbend.store.voter_repair import REPLACE_AFTER_MS, next_change
from bulrushbend.wire.fleet_pb2 import VotersRequest

HEALTHY = PeerStatus(10.0, "founding", True)
SILENT = PeerStatus(REPLACE_AFTER_MS + 1, "founding", False)
WIPED = PeerStatus(10.0, "new-disk", False)


def voters(*names):
    return tuple(Node(name, f"{name}:1", "founding") for name in names)


def learners(*names):
    return tuple(Node(name, f"{name}:1") for name in names)


def change(configuration, peers, target=3):
    request = next_change(configuration, peers, "a", target)
    if request is None:
        return None
    return VotersRequest.Change.Name(request.change), request.name


def test_no_change_while_all_voters_respond():
    configuration = Configuration(voters("a", "b", "c"))
    assert change(configuration, {"b": HEALTHY, "c": HEALTHY}) is None


def test_voter_that_lost_its_disk_is_removed():
    # On an empty disk it no longer knows its votes and entries, so it must not vote.
    configuration = Configuration(voters("a", "b", "c"))
    assert change(configuration, {"b": HEALTHY, "c": WIPED}) == ("REMOVE", "c")


def test_learner_that_has_caught_up_is_promoted():
    configuration = Configuration(voters("a", "b"), learners("c"))
    ready = PeerStatus(10.0, "new-disk", True)
    behind = PeerStatus(10.0, "new-disk", False)
    assert change(configuration, {"b": HEALTHY, "c": ready}) == ("PROMOTE", "c")
    assert change(configuration, {"b": HEALTHY, "c": behind}) is None


def test_silent_voter_is_replaced_only_by_a_learner_that_has_caught_up():
    # Without this rule, each short isolation would shrink the voter list.
    silent = {"b": HEALTHY, "c": SILENT}
    assert change(Configuration(voters("a", "b", "c")), silent) is None
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    assert change(configuration, silent | {"d": HEALTHY}) == ("REMOVE", "c")
    assert change(configuration, silent | {"d": WIPED}) is None


def test_extra_learner_is_not_promoted():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    assert change(configuration, {"b": HEALTHY, "c": HEALTHY, "d": HEALTHY}) is None


def test_silent_learner_is_removed():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    gone = PeerStatus(60_000.0, "", False)
    assert change(configuration, {"b": HEALTHY, "c": HEALTHY, "d": gone}) == (
        "REMOVE",
        "d",
    )


STATUSES = (HEALTHY, SILENT, WIPED)


@pytest.mark.parametrize("size", [3, 5, 6, 8])
def test_no_removal_leaves_the_answering_voters_without_a_majority(size):
    """All combinations of peer states, with and without a learner to promote."""
    names = [chr(ord("a") + number) for number in range(size)]
    for statuses in itertools.product(STATUSES, repeat=size - 1):
        for spare in ((), ("x",)):
            peers = dict(zip(names[1:], statuses, strict=True))
            peers |= {name: PeerStatus(10.0, "x", True) for name in spare}
            configuration = Configuration(voters(*names), learners(*spare))
            request = next_change(configuration, peers, "a", size)
            if request is None or request.change != VotersRequest.REMOVE:
                continue
            remaining = configuration.without(request.name)
            healthy = {n for n, status in peers.items() if status is HEALTHY} | {"a"}
            assert remaining.has_majority(healthy)
            assert peers[request.name] is not HEALTHY
