"""Test cuminstile.caller.serving."""

import pytest

from cuminstile.caller.bodies import parse_run_body
from cuminstile.caller.serving import with_truth
from cuminstile.calls import RunTrace
from cuminstile.exceptions import CuminstileError, ErrorCode, Ran
from cuminstile.objects.model import Pipeline, Step
from cuminstile.pipeline import Progress, Request


@pytest.mark.parametrize(
    ("maybe_ran", "is_resend", "ran"),
    [
        (False, False, Ran.NOT_RUN),
        (True, False, Ran.UNKNOWN),
        (False, True, Ran.UNKNOWN),
    ],
)
def test_a_refusal_denies_a_run_only_where_none_can_be(
    maybe_ran: bool, is_resend: bool, ran: Ran
) -> None:
    steps = (Step("book", "book"),)
    pipeline = Pipeline(kind="pipeline", name="book", steps=steps)
    request = Request("r", "org", pipeline, {}, False, 0.0, "k", 1, is_resend)
    progress = Progress(traces={"book": RunTrace(maybe_ran)})
    error = CuminstileError(ErrorCode.PLATFORM_AWAY, "away")
    assert with_truth(error, request, progress).ran is ran


def test_a_caller_marks_a_resend() -> None:
    assert parse_run_body(b'{"input": 1, "resend": true}').resend
    assert not parse_run_body(b'{"input": 1}').resend
