"""Parse the bodies of callers' requests and build the bodies of responses."""

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
    """Body of a request to run a pipeline.

    Parameters
    ----------
    deadline_ms : int or None
        How long the caller waits, in ms; by default the pipeline's own deadline.
    issued_at_ms : int
        When the caller issued its idempotency key, in ms since 1970 UTC; 0 if not
        given.
    resend : bool
        Whether the caller has sent this idempotency key before.
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
    """Parse and validate the body of a request to run a pipeline.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` and every finding.
    """
    return parse_body(RUN_BODY, data)


def answer_body(request: Request, progress: Progress) -> dict[str, Any]:
    """Return the body of a complete answer."""
    last = request.pipeline.steps[-1].name
    steps = [
        step_body(step.name, step.stage, progress.outcomes[step.name])
        for step in request.pipeline.steps
    ]
    output = progress.outcomes[last].output
    return {"request": request.name, "output": output, "steps": steps}


def step_body(step: str, stage: str, outcome: StageOutcome) -> dict[str, Any]:
    """Return the entry for one step in the body of an answer, without its output."""
    body = asdict(outcome)
    del body["output"]
    body["elapsed_ms"] = round(outcome.elapsed_ms, 1)
    return {"step": step, "stage": stage, **body}


def error_body(error: CuminstileError) -> dict[str, Any]:
    """Return the body of an error response."""
    return {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "ran": error.ran.value,
            "findings": [asdict(finding) for finding in error.findings],
        }
    }
