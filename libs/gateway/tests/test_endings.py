import pytest

from bulrushbend.core.events import EventKind
from bulrushbend.gateway.attempt import AttemptResult, Verdict
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.endings import ending_of_error, ending_of_result


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (503, EventKind.REQUEST_NOT_RUN),
        (401, EventKind.REQUEST_REFUSED),
        (502, EventKind.REQUEST_UNKNOWN),
        (504, EventKind.REQUEST_UNKNOWN),
    ],
)
def test_log_line_says_what_the_status_promises(status, kind):
    # Guards against a log that calls a request "not run" that may have run.
    assert ending_of_error(RequestError(status, "code", "message")).kind is kind


def test_broken_answer_is_a_failure():
    result = AttemptResult(Verdict.BROKEN_OFF, "body: reset", 200)
    assert ending_of_result(result).kind is EventKind.REQUEST_FAILED
