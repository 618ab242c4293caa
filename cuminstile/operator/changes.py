"""List the differences between two configurations."""

from collections.abc import Iterable

from ..exceptions import CuminstileError, ErrorCode, Finding
from ..objects.model import AnyObject
from ..records.config_record import NO_VERSION, ObjectKey, by_key
from ..records.configuration import ConfigurationState


def list_changes(
    before: Iterable[AnyObject], after: Iterable[AnyObject]
) -> tuple[Finding, ...]:
    """Return one finding for each object that was added, changed or removed."""
    old, new = by_key(before), by_key(after)
    findings = []
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            findings.append(change_finding(key, "added"))
        elif key not in new:
            findings.append(change_finding(key, "removed"))
        elif old[key] != new[key]:
            findings.append(change_finding(key, "changed"))
    return tuple(findings)


def change_finding(key: ObjectKey, code: str) -> Finding:
    """Return the finding for one object; `code` is the kind of change."""
    return Finding("", f"{key.kind} {key.name}", code, f"{code} since the base")


def conflict_error(state: ConfigurationState, base: int) -> CuminstileError:
    """Return the error for a publication whose base is no longer in force.

    Its findings list the changes since the base if this VM has both versions.
    """
    head = state.head
    message = f"version {head} is in force, not {base}"
    if head == NO_VERSION:
        message = f"no version is in force yet; the base must be -1, not {base}"
    new = state.history.get(head)
    old = state.history.get(base)
    if new is None and head != NO_VERSION:
        message += "; this VM's release can't read its objects"
    if new is None or (old is None and base != NO_VERSION):
        return CuminstileError(ErrorCode.PUBLISH_CONFLICT, message)
    found = list_changes(old.items if old else (), new.items)
    return CuminstileError(ErrorCode.PUBLISH_CONFLICT, message, findings=found)
