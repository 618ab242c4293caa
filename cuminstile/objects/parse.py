"""Turn plain data into operators' objects, each with its place."""

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
    """Hold the plain data of one object.

    Parameters
    ----------
    file : str
        Where the object was read, empty if not from a file.
    path : str
        Its place in the file, as `[2]`; empty if the file holds it alone.
    data : Any
        What JSON gave.
    """

    file: str
    path: str
    data: Any


@dataclass(frozen=True)
class PlacedObject:
    """Hold one valid object with the place where it was read."""

    file: str
    path: str
    item: AnyObject

    def finding(self, path: str, code: str, message: str) -> Finding:
        """Return a finding about the field `path` of this object."""
        return Finding(self.file, join(self.path, path), code, message)


@dataclass(frozen=True)
class Parsed:
    """Hold the valid objects, and what is wrong with the others.

    Parameters
    ----------
    objects : tuple of PlacedObject
        The objects that are valid by themselves.
    bad_names : frozenset of (str, str)
        Kind and name of the objects that are not, as far as they give them.
    findings : tuple of Finding
        Everything that is wrong with those.
    """

    objects: tuple[PlacedObject, ...]
    bad_names: frozenset[tuple[str, str]]
    findings: tuple[Finding, ...]


def join(outer: str, inner: str) -> str:
    """Return the place `inner` inside the place `outer`."""
    if outer and inner and not inner.startswith("["):
        return f"{outer}.{inner}"
    return outer + inner


def parse(raws: Iterable[RawObject]) -> Parsed:
    """Return every valid object and every finding about the others."""
    objects: list[PlacedObject] = []
    bad_names: set[tuple[str, str]] = set()
    findings: list[Finding] = []
    for raw in raws:
        checked = validate(OBJECT, raw.data, raw.file)
        if checked.value is not None:
            objects.append(PlacedObject(raw.file, raw.path, checked.value))
            continue
        bad_names |= named(raw.data)
        findings += (explain(raw, finding) for finding in checked.findings)
    return Parsed(tuple(objects), frozenset(bad_names), tuple(findings))


def kind_of(data: Any) -> str:
    """Return the kind that plain data gives, or an empty text."""
    kind = data.get("kind") if isinstance(data, dict) else None
    return kind if isinstance(kind, str) else ""


def named(data: Any) -> set[tuple[str, str]]:
    """Return the kind and name of an invalid object if it gives both."""
    name = data.get("name") if isinstance(data, dict) else None
    return {(kind_of(data), name)} if kind_of(data) and isinstance(name, str) else set()


def explain(raw: RawObject, finding: Finding) -> Finding:
    """Return a finding with its whole place and with what would be right."""
    kind = kind_of(raw.data)
    path = finding.path
    if path == kind or path.startswith((f"{kind}.", f"{kind}[")):
        path = path.removeprefix(kind).removeprefix(".")
    message = finding.message
    match finding.code:
        case "unexpected_keyword_argument" if kind in FIELDS and "." not in path:
            message = f"not a field of a {kind}; its fields: {', '.join(FIELDS[kind])}"
        case "union_tag_not_found":
            path, message = "kind", f"say the kind of the object, one of {KINDS}"
        case "union_tag_invalid":
            path, message = "kind", f"not a kind of object; the kinds: {KINDS}"
        case "dataclass_type":
            message = "an object in braces is expected"
    return Finding(raw.file, join(raw.path, path), finding.code, message)
