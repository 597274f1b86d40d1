import itertools

import pytest

from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.leadership import PeerView
from bulrushbend.store.voter_repair import REPLACE_MS, next_change
from bulrushbend.wire.fleet_pb2 import VotersRequest

FRESH = PeerView(10.0, "founding", True)
SILENT = PeerView(REPLACE_MS + 1, "founding", False)
WIPED = PeerView(10.0, "new-disk", False)


def voters(*names):
    return tuple(Node(name, f"{name}:1", "founding") for name in names)


def learners(*names):
    return tuple(Node(name, f"{name}:1") for name in names)


def change(configuration, peers, target=3):
    request = next_change(configuration, peers, "a", target)
    if request is None:
        return None
    return VotersRequest.Change.Name(request.change), request.name


def test_nothing_changes_while_all_is_well():
    configuration = Configuration(voters("a", "b", "c"))
    assert change(configuration, {"b": FRESH, "c": FRESH}) is None


def test_voter_that_lost_its_disk_is_removed():
    # Guards against an empty disk that votes as if it remembered.
    configuration = Configuration(voters("a", "b", "c"))
    assert change(configuration, {"b": FRESH, "c": WIPED}) == ("REMOVE", "c")


def test_learner_that_holds_the_state_is_promoted():
    configuration = Configuration(voters("a", "b"), learners("c"))
    ready = PeerView(10.0, "new-disk", True)
    behind = PeerView(10.0, "new-disk", False)
    assert change(configuration, {"b": FRESH, "c": ready}) == ("PROMOTE", "c")
    assert change(configuration, {"b": FRESH, "c": behind}) is None


def test_silent_voter_is_replaced_only_by_a_learner_that_is_ready():
    # Guards against a voter list that shrinks with every short cut.
    silent = {"b": FRESH, "c": SILENT}
    assert change(Configuration(voters("a", "b", "c")), silent) is None
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    assert change(configuration, silent | {"d": FRESH}) == ("REMOVE", "c")
    assert change(configuration, silent | {"d": WIPED}) is None


def test_extra_learner_stays_a_spare():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    assert change(configuration, {"b": FRESH, "c": FRESH, "d": FRESH}) is None


def test_learner_that_is_gone_is_dropped():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    gone = PeerView(60_000.0, "", False)
    assert change(configuration, {"b": FRESH, "c": FRESH, "d": gone}) == ("REMOVE", "d")


VIEWS = (FRESH, SILENT, WIPED)


@pytest.mark.parametrize("size", [3, 5, 6, 8])
def test_no_removal_leaves_the_answering_voters_without_a_majority(size):
    """Every combination of states of the peers, with and without a ready learner."""
    names = [chr(ord("a") + number) for number in range(size)]
    for views in itertools.product(VIEWS, repeat=size - 1):
        for spare in ((), ("x",)):
            peers = dict(zip(names[1:], views, strict=True))
            peers |= {name: PeerView(10.0, "x", True) for name in spare}
            configuration = Configuration(voters(*names), learners(*spare))
            request = next_change(configuration, peers, "a", size)
            if request is None or request.change != VotersRequest.REMOVE:
                continue
            rest = configuration.without(request.name)
            sound = {n for n, view in peers.items() if view is FRESH} | {"a"}
            assert rest.has_majority(sound)
            assert peers[request.name] is not FRESH
