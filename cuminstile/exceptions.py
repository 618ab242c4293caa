"""Exceptions and error codes of the system."""

import traceback
from dataclasses import dataclass
from enum import StrEnum


class RunStatus(StrEnum):
    """Whether a refused request may have run.

    `NOT_RUN` is used only if no byte of a non-repeatable call was sent to an upstream;
    in all other cases the status is `UNKNOWN`.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorCode(StrEnum):
    """Codes of all errors; docs/ERRORS.md explains each."""

    MALFORMED_BODY = "malformed_body"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    REPEATED_FIELD = "repeated_field"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_PIPELINE = "unknown_pipeline"
    UNKNOWN_PATH = "unknown_path"
    KEY_REQUIRED = "key_required"
    KEY_TOO_OLD = "key_too_old"
    KEY_REUSED = "key_reused"
    KEY_FROM_FUTURE = "key_from_future"
    CLAIMED_ELSEWHERE = "claimed_elsewhere"
    ANSWER_TOO_LARGE = "answer_too_large"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    QUARANTINED = "quarantined"
    PEER_LOST = "peer_lost"
    PLATFORM_AWAY = "platform_away"
    NO_CONFIGURATION = "no_configuration"
    SHUTTING_DOWN = "shutting_down"
    BAD_SETTINGS = "bad_settings"
    BAD_OBJECTS = "bad_objects"
    PUBLISH_CONFLICT = "publish_conflict"
    BAD_MESSAGE = "bad_message"
    TRIMMED = "trimmed"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorCode.MALFORMED_BODY: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.BODY_TIMEOUT: 408,
    ErrorCode.REPEATED_FIELD: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.UNKNOWN_PIPELINE: 404,
    ErrorCode.UNKNOWN_PATH: 404,
    ErrorCode.KEY_REQUIRED: 400,
    ErrorCode.KEY_TOO_OLD: 409,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.KEY_FROM_FUTURE: 400,
    ErrorCode.CLAIMED_ELSEWHERE: 409,
    ErrorCode.ANSWER_TOO_LARGE: 409,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.DEADLINE_TOO_SHORT: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.PEER_LOST: 502,
    ErrorCode.PLATFORM_AWAY: 503,
    ErrorCode.NO_CONFIGURATION: 503,
    ErrorCode.SHUTTING_DOWN: 503,
    ErrorCode.BAD_SETTINGS: 400,
    ErrorCode.BAD_OBJECTS: 422,
    ErrorCode.PUBLISH_CONFLICT: 409,
    ErrorCode.BAD_MESSAGE: 400,
    ErrorCode.TRIMMED: 410,
    ErrorCode.INTERNAL: 500,
}


@dataclass(frozen=True)
class Finding:
    """A fault in an input and its location.

    Parameters
    ----------
    file : str
        The file or other source, empty if there is only one.
    path : str
        The location in the source, for example `stages[2].name`.
    code : str
        A short constant identifier of the kind of finding.
    message : str
        What is wrong and what would be correct.
    """

    file: str
    path: str
    code: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        place = ":".join(part for part in (self.file, self.path) if part)
        return f"{place}: {self.message} [{self.code}]"


class CuminstileError(Exception):
    """Base class of errors with a code, a message and the status of the run.

    Parameters
    ----------
    code : ErrorCode
        The kind of error.
    message : str
        One sentence for the recipient of the answer; it must not contain a secret.
    ran : RunStatus
        Whether the request may have run.
    findings : tuple of Finding
        All faults that were found in an input.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        ran: RunStatus = RunStatus.NOT_RUN,
        findings: tuple[Finding, ...] = (),
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.ran = ran
        self.findings = findings


class PlatformUnavailableError(CuminstileError):
    """The platform did not respond; an append may still have taken effect."""

    def __init__(self, message: str, ran: RunStatus = RunStatus.NOT_RUN) -> None:
        super().__init__(ErrorCode.PLATFORM_AWAY, message, ran)


class TrimmedError(CuminstileError):
    """Records before `first_offset` have been trimmed from a stream."""

    def __init__(self, stream: str, first_offset: int) -> None:
        super().__init__(ErrorCode.TRIMMED, f"{stream} starts at {first_offset}")
        self.first_offset = first_offset


def raised_at(error: Exception) -> str:
    """Return the file and line where an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
