"""Check the bodies that callers send and shape those that they get."""

from dataclasses import asdict, dataclass
from typing import Annotated, Any

from pydantic import ConfigDict, Field, StrictBool, TypeAdapter, with_config

from ..calls import StageOutcome
from ..const import MAX_DEADLINE_MS
from ..exceptions import CuminstileError
from ..http_body import parse_body
from ..pipeline import Progress, Request


@with_config(ConfigDict(extra="forbid"))
@dataclass(frozen=True)
class RunBody:
    """Hold the body of a request to run a pipeline.

    Parameters
    ----------
    deadline_ms : int or None
        How long the caller waits; the pipeline's own deadline by default.
    issued_at_ms : int
        When the caller issued its idempotency key, in ms since 1970 UTC.
    resend : bool
        Whether the caller has sent this key before.
    """

    input: Any
    deadline_ms: Annotated[int, Field(strict=True, ge=1, le=MAX_DEADLINE_MS)] | None = (
        None
    )
    stream: StrictBool = False
    idempotency_key: Annotated[str, Field(max_length=200)] = ""
    issued_at_ms: Annotated[int, Field(strict=True, ge=0, le=2**53)] = 0
    resend: StrictBool = False


RUN_BODY: TypeAdapter[RunBody] = TypeAdapter(RunBody)


def parse_run_body(data: bytes) -> RunBody:
    """Return the checked body.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` and every finding.
    """
    return parse_body(RUN_BODY, data)


def answer_body(request: Request, progress: Progress) -> dict[str, Any]:
    """Return the body of a whole answer."""
    last = request.pipeline.steps[-1].name
    steps = [
        step_body(step.name, step.stage, progress.outcomes[step.name])
        for step in request.pipeline.steps
    ]
    output = progress.outcomes[last].output
    return {"request": request.name, "output": output, "steps": steps}


def step_body(step: str, stage: str, outcome: StageOutcome) -> dict[str, Any]:
    """Return what an answer tells about one step."""
    body = asdict(outcome)
    del body["output"]
    body["elapsed_ms"] = round(outcome.elapsed_ms, 1)
    return {"step": step, "stage": stage, **body}


def error_body(error: CuminstileError) -> dict[str, Any]:
    """Return the body of a refusal."""
    return {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "ran": error.ran.value,
            "findings": [asdict(finding) for finding in error.findings],
        }
    }
