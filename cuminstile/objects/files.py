"""Read operators' objects from the files of a directory."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..exceptions import Finding
from ..strict_json import loads
from .parse import RawObject


@dataclass(frozen=True)
class LoadedFiles:
    """The objects read from files, and findings about files that cannot be read."""

    raws: tuple[RawObject, ...] = ()
    findings: tuple[Finding, ...] = ()


def load_directory(directory: Path) -> LoadedFiles:
    """Read every `*.json` file under a directory, sorted by path.

    Each file holds one object or a list of objects.
    """
    if not directory.is_dir():
        return failure(directory, "no_directory", "a directory is expected")
    paths = sorted(directory.rglob("*.json"))
    if not paths:
        return failure(directory, "no_files", "at least one *.json file is expected")
    files = tuple(load_file(path) for path in paths)
    return LoadedFiles(
        tuple(raw for loaded in files for raw in loaded.raws),
        tuple(finding for loaded in files for finding in loaded.findings),
    )


def load_file(path: Path) -> LoadedFiles:
    """Read the objects of one file."""
    try:
        data = loads(path.read_bytes())
    except (OSError, ValueError) as error:
        return failure(path, "unreadable", f"JSON in UTF-8 is expected: {error}")
    return LoadedFiles(raw_objects(data, str(path)))


def raw_objects(data: Any, file: str = "") -> tuple[RawObject, ...]:
    """Return the objects in parsed JSON: one object or a list of objects."""
    if not isinstance(data, list):
        return (RawObject(file, "", data),)
    return tuple(RawObject(file, f"[{index}]", item) for index, item in enumerate(data))


def failure(path: Path, code: str, message: str) -> LoadedFiles:
    """Return a result with one finding about a file or directory and no objects."""
    return LoadedFiles(findings=(Finding(str(path), "", code, message),))
