"""Check a manifest before it is sent: `python3 -m cuminstile.platform.check_config`."""

from __future__ import annotations

import json as jsonlib
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

import fire

from ..config_check.differences import describe_changes
from ..config_check.problems import (
    Problem,
    Severity,
    check_version,
    error,
    errors_first,
    find_problems,
    warning,
)
from ..gateway.model import Manifest
from .records import (
    ROUTE_KINDS,
    InvalidRecordError,
    decode_manifest,
    load_object,
    refuse_on_type_errors,
    route_of,
    service_of,
)

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Far more than a manifest of any size that the store takes."""
EXIT_OK = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
KNOWN_FIELDS = {
    "": {"version", "routes", "services", "limits", "tenants"},
    "limits": {
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_ms",
        "idle_timeout_ms",
    },
    "tenants": {"name", "api_keys", "priority"},
    "routes": {
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "service",
        "backends",
        "max_attempts",
        "stages",
        "public",
        "sticky",
        "resumable",
        "gap_aim_ms",
    },
}
"""Fields that are read, by the list or object that they stand in; a service has more
than are used here."""


def read_manifest(path: Path) -> tuple[Manifest | None, list[Problem]]:
    """Return the manifest in a file, None if it can't be used, and what is wrong."""
    try:
        with path.open("rb") as file:
            payload = file.read(MAX_FILE_BYTES + 1)
    except OSError as problem:
        return None, [error(str(path), "unreadable", str(problem))]
    if len(payload) > MAX_FILE_BYTES:
        text = f"the file is larger than {MAX_FILE_BYTES} bytes"
        return None, [error(str(path), "too_large", text)]
    raw: dict[str, Any] = {}
    try:
        raw = load_object(payload)
        manifest = decode_manifest(payload)
    except InvalidRecordError as problem:
        place = f"{path}{invalid_entry(raw)}"
        return None, [error(place, "invalid", str(problem))]
    checks = (unknown_fields, unknown_values, repeated_names, shared_keys)
    return manifest, [problem for check in checks for problem in check(raw)]


def invalid_entry(raw: dict[str, Any]) -> str:
    """Return the first entry that can't be decoded, for example ` routes[3]`.

    Services are decoded before routes. Empty if the fault is in no entry.
    """
    decoders: dict[str, Callable[[Any], object]] = {
        "services": service_of,
        "routes": route_of,
    }
    for name, decode in decoders.items():
        items = raw.get(name)
        for number, item in enumerate(items if isinstance(items, list) else []):
            try:
                refuse_on_type_errors(partial(decode, item))
            except InvalidRecordError:
                return f" {name}[{number}]"
    return ""


def unknown_values(raw: dict[str, Any]) -> list[Problem]:
    """Return a warning for each route with a kind or services that are not used."""
    found: list[Problem] = []
    for item in raw["routes"]:
        place, kind = f"route {item['name']}", item["kind"]
        if kind not in ROUTE_KINDS:
            text = f"kind {kind} is not known, its requests run once"
            found.append(warning(place, "unknown_kind", text))
        if item.get("service") is not None and item.get("backends"):
            text = "it has a service, so its backends are not used"
            found.append(warning(place, "unused_target", text))
    return found


def repeated_names(raw: dict[str, Any]) -> list[Problem]:
    """Return a problem for each name of several services or organisations."""
    services = Counter(item["name"] for item in raw["services"])
    tenants = Counter(item["name"] for item in raw.get("tenants") or [])
    code, text = "repeated_name", "{} entries have this name"
    return [
        *(
            error(f"service {name}", code, text.format(count))
            for name, count in services.items()
            if count > 1
        ),
        *(
            warning(f"organisation {name}", code, text.format(count))
            for name, count in tenants.items()
            if count > 1
        ),
    ]


def unknown_fields(raw: dict[str, object]) -> list[Problem]:
    """Return a warning for each field that is not read."""
    found = [(name, "") for name in raw if name not in KNOWN_FIELDS[""]]
    for place, known in KNOWN_FIELDS.items():
        value = raw.get(place) if place else None
        items = value if isinstance(value, list) else [value]
        for number, item in enumerate(items):
            if isinstance(item, dict):
                where = f"{place}[{number}]" if isinstance(value, list) else place
                found += [(name, where) for name in item if name not in known]
    return [
        warning(place, "unknown_field", f"field {name!r} is not known and not used")
        for name, place in found
    ]


def shared_keys(raw: dict[str, object]) -> list[Problem]:
    """Return an error for each key of two organisations, and for those without keys."""
    found: list[Problem] = []
    owners: dict[str, str] = {}
    tenants = raw.get("tenants")
    for item in tenants if isinstance(tenants, list) else []:
        name, keys = item["name"], item.get("api_keys") or []
        if not keys:
            found.append(warning(f"organisation {name}", "no_keys", "it holds no key"))
        for key in keys:
            owner = owners.setdefault(key, name)
            if owner != name:
                text = f"it has a key of organisation {owner}"
                found.append(error(f"organisation {name}", "shared_key", text))
    return found


def check_config(
    file: str, *, against: str = "", strict: bool = False, json: bool = False
) -> None:
    """Check a manifest before it is sent.

    Exit status: 0, or 1 for warnings with `--strict`, or 2 for errors.

    Parameters
    ----------
    file : str
        The manifest, a JSON file.
    against : str
        A file with the manifest in force; what differs is printed.
    strict : bool
        Whether warnings count.
    json : bool
        Print one JSON object.
    """
    manifest, problems = read_manifest(Path(str(file)))
    if manifest is not None:
        problems += find_problems(manifest)
    changes: tuple[str, ...] = ()
    if against:
        in_force, other_problems = read_manifest(Path(str(against)))
        problems += [one for one in other_problems if in_force is None]
        if manifest is not None and in_force is not None:
            changes = describe_changes(in_force, manifest)
            problems += check_version(in_force, manifest)
    print_outcome(errors_first(problems), changes, json)
    sys.exit(exit_status(problems, strict))


def exit_status(problems: list[Problem], strict: bool) -> int:
    """Return the exit status for what was found."""
    if any(problem.severity is Severity.ERROR for problem in problems):
        return EXIT_ERRORS
    return EXIT_WARNINGS if problems and strict else EXIT_OK


def print_outcome(
    problems: list[Problem], changes: tuple[str, ...], json: bool
) -> None:
    """Print problems and changes, a line each or as one JSON object."""
    if json:
        found = [asdict(problem) for problem in problems]
        print(jsonlib.dumps({"problems": found, "changes": changes}))
        return
    for line in (*problems, *changes):
        print(in_encoding(str(line), sys.stdout.encoding))
    print(f"{len(problems)} problems, {len(changes)} changes", file=sys.stderr)


def in_encoding(text: str, encoding: str | None) -> str:
    """Return a text with escapes for what a stream's encoding doesn't have."""
    name = encoding or "utf-8"
    return text.encode(name, "backslashreplace").decode(name)


if __name__ == "__main__":
    fire.Fire(check_config)
