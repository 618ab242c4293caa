"""Parse plain data into operators' objects, each with its location."""

import dataclasses
import typing
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ..exceptions import Finding
from ..validation import validate
from .model import OBJECT, AnyObject

CLASSES: tuple[type[Any], ...] = typing.get_args(typing.get_args(AnyObject)[0])
FIELDS = {
    typing.get_args(typing.get_type_hints(kind)["kind"])[0]: tuple(
        field.name for field in dataclasses.fields(kind)
    )
    for kind in CLASSES
}
KINDS = ", ".join(sorted(FIELDS))


@dataclass(frozen=True)
class RawObject:
    """The plain data of one object.

    Parameters
    ----------
    file : str
        The file that the object was read from, empty if none.
    path : str
        Its path in the file, for example `[2]`; empty if the file holds only this
        object.
    data : Any
        The parsed JSON.
    """

    file: str
    path: str
    data: Any


@dataclass(frozen=True)
class LocatedObject:
    """One valid object with the location that it was read from."""

    file: str
    path: str
    item: AnyObject

    def finding(self, path: str, code: str, message: str) -> Finding:
        """Return a finding about the field `path` of this object."""
        return Finding(self.file, join_paths(self.path, path), code, message)


@dataclass(frozen=True)
class ParsedObjects:
    """The valid objects, and the findings about the invalid ones.

    Parameters
    ----------
    objects : tuple of LocatedObject
        The objects that are valid by themselves.
    invalid_names : frozenset of (str, str)
        Kind and name of each invalid object that has both.
    findings : tuple of Finding
        Everything that is wrong with the invalid objects.
    """

    objects: tuple[LocatedObject, ...]
    invalid_names: frozenset[tuple[str, str]]
    findings: tuple[Finding, ...]


def join_paths(outer: str, inner: str) -> str:
    """Return the path `inner` relative to the path `outer` as one path."""
    if outer and inner and not inner.startswith("["):
        return f"{outer}.{inner}"
    return outer + inner


def parse(raws: Iterable[RawObject]) -> ParsedObjects:
    """Return every valid object and every finding about the others."""
    objects: list[LocatedObject] = []
    invalid_names: set[tuple[str, str]] = set()
    findings: list[Finding] = []
    for raw in raws:
        checked = validate(OBJECT, raw.data, raw.file)
        if checked.value is not None:
            objects.append(LocatedObject(raw.file, raw.path, checked.value))
            continue
        invalid_names |= identity_of(raw.data)
        findings += (explain(raw, finding) for finding in checked.findings)
    return ParsedObjects(tuple(objects), frozenset(invalid_names), tuple(findings))


def kind_of(data: Any) -> str:
    """Return the kind that is given in plain data, or an empty string."""
    kind = data.get("kind") if isinstance(data, dict) else None
    return kind if isinstance(kind, str) else ""


def identity_of(data: Any) -> set[tuple[str, str]]:
    """Return a set with the kind and name of an invalid object if it has both."""
    name = data.get("name") if isinstance(data, dict) else None
    return {(kind_of(data), name)} if kind_of(data) and isinstance(name, str) else set()


def explain(raw: RawObject, finding: Finding) -> Finding:
    """Return a finding with its full path and a message stating what is expected."""
    kind = kind_of(raw.data)
    path = finding.path
    if path == kind or path.startswith((f"{kind}.", f"{kind}[")):
        path = path.removeprefix(kind).removeprefix(".")
    message = finding.message
    match finding.code:
        case "unexpected_keyword_argument" if kind in FIELDS and "." not in path:
            message = f"not a field of {kind}; its fields: {', '.join(FIELDS[kind])}"
        case "union_tag_not_found":
            path, message = "kind", f"kind is missing; it must be one of {KINDS}"
        case "union_tag_invalid":
            path, message = "kind", f"unknown kind; it must be one of {KINDS}"
        case "dataclass_type":
            message = "a JSON object is expected"
    return Finding(raw.file, join_paths(raw.path, path), finding.code, message)
