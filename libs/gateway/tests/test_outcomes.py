import pytest

from bulrushbend.core.events import EventKind
from bulrushbend.gateway.attempt import AttemptResult, Verdict
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.outcomes import outcome_of_error, outcome_of_result


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (503, EventKind.REQUEST_NOT_RUN),
        (401, EventKind.REQUEST_REFUSED),
        (502, EventKind.REQUEST_UNKNOWN),
        (504, EventKind.REQUEST_UNKNOWN),
    ],
)
def test_log_line_agrees_with_the_guarantee_of_the_status(status, kind):
    # Guards against a log that reports a request as not run although it may have run.
    assert outcome_of_error(RequestError(status, "code", "message")).kind is kind


def test_broken_off_response_is_a_failure():
    result = AttemptResult(Verdict.BROKEN_OFF, "body: reset", 200)
    assert outcome_of_result(result).kind is EventKind.REQUEST_FAILED
