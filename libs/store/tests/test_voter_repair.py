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


def change(configuration, peers, target=3, leaving=()):
    request = next_change(configuration, peers, "a", target, leaving)
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
    assert change(configuration, silent | {"d": HEALTHY}) == ("REPLACE", "c")
    assert change(configuration, silent | {"d": WIPED}) is None


def test_voter_that_stops_or_has_ended_is_replaced_at_once():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    peers = {"b": HEALTHY, "c": HEALTHY, "d": HEALTHY}
    for name in ("a", "c"):
        assert change(configuration, peers, leaving={name}) == ("REPLACE", name)
    ended = PeerStatus(10.0, "founding", True, is_refusing=True)
    assert change(configuration, peers | {"c": ended}) == ("REPLACE", "c")


def test_voter_is_not_replaced_by_a_learner_that_stops_or_has_ended():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    ended = PeerStatus(10.0, "founding", True, is_refusing=True)
    peers = {"b": HEALTHY, "c": SILENT, "d": HEALTHY}
    assert change(configuration, peers, leaving={"d"}) is None
    assert change(configuration, peers | {"d": ended}) is None


def test_replacement_that_an_earlier_leader_began_is_completed():
    configuration = Configuration(voters("a", "b", "c"), learners("d"))
    joint = configuration.with_replacement("c", Node("d", "d:1", "new-disk"))
    peers = {"b": HEALTHY, "c": HEALTHY, "d": HEALTHY}
    assert change(joint, peers) == ("COMPLETE", "")


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


def applied(configuration, request):
    """Return the configuration after the first step of a change."""
    match request.change:
        case VotersRequest.REMOVE:
            return configuration.without(request.name)
        case VotersRequest.COMPLETE:
            return configuration.completed()
        case VotersRequest.REPLACE:
            name = request.replacement
            node = Node(name, f"{name}:1", "new-disk")
            return configuration.with_replacement(request.name, node)
    raise AssertionError(request)


def steps_of_replacement(size, old, is_killed):
    """Return the configurations while a learner replaces a voter that stops or ends.

    A leader that is killed between two of them is followed by another one.
    """
    names = [chr(ord("a") + number) for number in range(size)]
    configurations = [Configuration(voters(*names), learners("x"))]
    while configurations[-1].voter(old) is not None:
        leader = next(name for name in names if not (is_killed and name == old))
        peers = {name: HEALTHY for name in (*names, "x") if name != leader}
        peers["x"] = PeerStatus(10.0, "new-disk", True)
        if is_killed:
            peers[old] = PeerStatus(10.0, "founding", True, is_refusing=True)
        leaving = () if is_killed else {old}
        last = configurations[-1]
        request = next_change(last, peers, leader, size, leaving)
        configurations.append(applied(last, request))
    return names, configurations


@pytest.mark.parametrize("size", [3, 5])
def test_one_disk_may_be_lost_in_each_step_of_a_replacement(size):
    """All voters that may be replaced, all disks, before and after each step.

    With a vote less or more in between, instead of a joint configuration, two of three
    voters or three of four would have to be left.
    """
    for old in [chr(ord("a") + number) for number in range(size)]:
        for is_killed in (False, True):
            names, configurations = steps_of_replacement(size, old, is_killed)
            assert len(configurations) == 3
            for configuration in configurations:
                everyone = {*names, "x"}
                # The old one runs until it is replaced, or comes back with its disk.
                for lost in everyone - {old}:
                    assert configuration.has_majority(everyone - {lost})
                # The old one is gone for good.
                assert configuration.has_majority(everyone - {old, "x"})
            for lost in everyone - {old}:
                assert configurations[-1].has_majority(everyone - {old, lost})


@pytest.mark.parametrize("size", [2, 3, 4, 5])
def test_successive_majorities_of_a_replacement_have_a_replica_in_common(size):
    # Guards against two leaders in one term.
    names, configurations = steps_of_replacement(size, "a", is_killed=size > 2)
    everyone = [*names, "x"]
    groups = [
        set(group)
        for count in range(len(everyone) + 1)
        for group in itertools.combinations(everyone, count)
    ]
    for before, after in itertools.pairwise(configurations):
        for first, second in itertools.product(groups, repeat=2):
            if before.has_majority(first) and after.has_majority(second):
                assert first & second


@pytest.mark.parametrize("size", [2, 3, 4, 5])
def test_agreed_index_is_held_by_a_majority(size):
    # Guards against an entry that is committed with too few of the old voters.
    names, configurations = steps_of_replacement(size, "a", is_killed=size > 2)
    for configuration in configurations:
        for values in itertools.product(range(3), repeat=size + 1):
            indexes = dict(zip([*names, "x"], values, strict=True))
            agreed = configuration.agreed_index(indexes)
            holders = {name for name, index in indexes.items() if index >= agreed}
            beyond = {name for name, index in indexes.items() if index > agreed}
            assert configuration.has_majority(holders)
            assert not configuration.has_majority(beyond)


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
            if request is None or request.change == VotersRequest.PROMOTE:
                continue
            changed = applied(configuration, request)
            healthy = {n for n, status in peers.items() if status is HEALTHY} | {"a"}
            assert changed.has_majority(healthy | {request.replacement})
            assert peers[request.name] is not HEALTHY
