import inspect

import pytest

from bulrushbend.core import errors

# Names in metric labels, event fields, log lines and load reports; they do not change
# when a class is renamed.
OUTER_NAMES = {
    errors.ConnectError: "ConnectFailed",
    errors.PeerTimeoutError: "PeerSilent",
    errors.TruncatedResponseError: "TruncatedAnswer",
    errors.PeerProtocolError: "ProtocolFault",
    errors.RequestNotRunError: "NotRun",
    errors.OutcomeUnknownError: "OutcomeUnknown",
    errors.RequestFailedError: "RunFailed",
    errors.CorruptLogError: "CorruptLog",
    errors.StoreFailedError: "StoreFailed",
    errors.NotLeaderError: "NotLeader",
    errors.NoQuorumError: "NoQuorum",
}


@pytest.mark.parametrize(("error_class", "outer_name"), OUTER_NAMES.items())
def test_renamed_error_keeps_its_outer_name(error_class, outer_name):
    assert errors.outer_name_of(error_class("no answer")) == outer_name


def test_every_other_error_goes_by_its_class_name():
    classes = inspect.getmembers(errors, inspect.isclass)
    others = [(name, c) for name, c in classes if c not in OUTER_NAMES]
    assert [(errors.outer_name_of(c("no answer")), c) for _, c in others] == others
    assert errors.outer_name_of(ConnectionResetError()) == "ConnectionResetError"


def test_subclass_does_not_inherit_the_outer_name():
    class DeadlineError(errors.OutcomeUnknownError):
        pass

    assert errors.outer_name_of(DeadlineError("too late")) == "DeadlineError"
