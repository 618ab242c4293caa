"""Test import layers: entry points at the top, decisions at the bottom."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "cuminstile"
ALLOWED_GATEWAY_IMPORTS = {
    "clock",
    "eras",
    "estimates",
    "events",
    "exceptions",
    "memory",
    "hedging",
    "recency",
    "rendezvous",
    "rollouts",
    "request_bounds",
    "request_window",
    "status_lines",
    "supervision",
    "message_codec",
    "crash_blame",
    "crash_chance",
    "crash_limits",
    "crash_merging",
    "crash_suspects",
    "duties",
    "scaling",
    "shutdown",
    "token_bucket",
}
"""Modules outside the gateway that it shares with the product's own interface."""
DECISIONS = (
    "admission",
    "batch_choice",
    "batch_planner",
    "chain",
    "duties",
    "event_stream",
    "forecast",
    "handover",
    "hubs",
    "late_chains",
    "lost_results",
    "membership",
    "model",
    "readers",
    "retry_budget",
    "returning_callers",
    "routing",
    "stage_queue",
    "upstream_costs",
    "upstreams",
)
"""Modules of the gateway that make decisions without I/O."""
SCALING_DECISIONS = ("decisions", "demand", "growth", "needs", "pools")
"""Modules of the number of upstreams that make decisions without I/O."""
SCALING_OF_THE_GATEWAY = ("decisions", "demand")
"""Those of them that the gateway uses."""
DUTY_DECISIONS = ("fleet_time", "lease", "messages", "types", "usage")
"""Modules of the duties that make decisions without I/O."""
SHUTDOWN_DECISIONS = ("answer_times", "in_progress", "schedule", "scheduler_role")
"""Modules of a planned stop that make decisions without I/O."""
ALLOWED_DUTY_IMPORTS = {"clock", "eras", "events", "exceptions", "token_bucket"}
NETWORK = {"anyio", "asyncio", "httptools", "socket", "uvloop", "websockets"}
ALLOWED_DECISION_IMPORTS = {*DECISIONS, "messages"}


def parsed(path: Path) -> ast.Module:
    return ast.parse(path.read_text("utf-8"), str(path))


def typing_only(tree: ast.Module) -> set[ast.AST]:
    """Return the nodes below `if TYPE_CHECKING:`, which are never imported."""
    return {
        node
        for branch in ast.walk(tree)
        if isinstance(branch, ast.If) and "TYPE_CHECKING" in ast.unparse(branch.test)
        for node in ast.walk(branch)
    }


def imports(path: Path, level: int) -> set[str]:
    """Return what a module imports from a level: 0 libraries, 1 its own folder."""
    tree = parsed(path)
    excluded = typing_only(tree)
    found: set[str] = set()
    for node in ast.walk(tree):
        if node in excluded:
            continue
        if isinstance(node, ast.Import) and level == 0:
            found |= {alias.name.partition(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.level == level:
            names = [node.module] if node.module else [a.name for a in node.names]
            found |= {str(name).partition(".")[0] for name in names}
    return found


def modules(folder: str) -> list[Path]:
    return sorted((PACKAGE / folder).rglob("*.py"))


@pytest.mark.parametrize("path", modules("gateway"), ids=lambda path: path.stem)
def test_gateway_imports_no_adapter_and_nothing_else_of_the_own_interface(
    path: Path,
) -> None:
    depth = len(path.relative_to(PACKAGE).parts)
    assert imports(path, depth) <= ALLOWED_GATEWAY_IMPORTS


@pytest.mark.parametrize("path", modules("eras"), ids=lambda path: path.stem)
def test_eras_of_the_store_use_nothing_else(path: Path) -> None:
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) | imports(path, 2) == set()


def test_what_is_known_of_versions_uses_no_network_and_no_gateway() -> None:
    path = PACKAGE / "rollouts" / "marks.py"
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) == set()
    assert imports(path, 2) == {"eras"}


@pytest.mark.parametrize("name", ["account", "descriptors"])
def test_decisions_on_memory_use_no_network_and_no_gateway(name: str) -> None:
    path = PACKAGE / "memory" / f"{name}.py"
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) | imports(path, 2) == set()


@pytest.mark.parametrize("name", DECISIONS)
def test_decisions_use_no_network_and_no_state_of_a_vm(name: str) -> None:
    path = PACKAGE / "gateway" / f"{name}.py"
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) <= ALLOWED_DECISION_IMPORTS


@pytest.mark.parametrize("path", modules("gateway/topics"), ids=lambda path: path.stem)
def test_what_is_known_of_topics_uses_no_network_and_no_state_of_a_vm(
    path: Path,
) -> None:
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) <= {"applying", "deltas", "returns", "state"}
    assert imports(path, 2) == set()
    assert imports(path, 3) <= {"eras"}


@pytest.mark.parametrize("name", SCALING_DECISIONS)
def test_number_of_upstreams_is_decided_without_network_or_gateway(name: str) -> None:
    path = PACKAGE / "scaling" / f"{name}.py"
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) <= set(SCALING_DECISIONS)
    assert imports(path, 2) <= {"duties", "recency"}


@pytest.mark.parametrize("path", modules("gateway"), ids=lambda path: path.stem)
def test_gateway_uses_only_the_decisions_on_the_number_of_upstreams(path: Path) -> None:
    used = {
        node.module
        for node in ast.walk(parsed(path))
        if isinstance(node, ast.ImportFrom) and node.module and node.level >= 2
    }
    found = {name for name in used if name.split(".")[0] == "scaling"}
    assert found <= {f"scaling.{name}" for name in SCALING_OF_THE_GATEWAY}


@pytest.mark.parametrize("path", modules("duties"), ids=lambda path: path.stem)
def test_duties_know_neither_gateway_nor_adapter(path: Path) -> None:
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 2) <= ALLOWED_DUTY_IMPORTS


@pytest.mark.parametrize("name", DUTY_DECISIONS)
def test_decisions_of_duties_use_nothing_else(name: str) -> None:
    path = PACKAGE / "duties" / f"{name}.py"
    assert imports(path, 1) <= set(DUTY_DECISIONS)
    assert imports(path, 2) == ({"eras"} if name == "lease" else set())


@pytest.mark.parametrize("name", SHUTDOWN_DECISIONS)
def test_decisions_of_a_stop_use_nothing_else(name: str) -> None:
    path = PACKAGE / "shutdown" / f"{name}.py"
    assert imports(path, 0) & NETWORK == set()
    assert imports(path, 1) <= set(SHUTDOWN_DECISIONS)
    assert imports(path, 2) == ({"recency"} if name == "answer_times" else set())


def test_nothing_but_the_program_itself_uses_the_adapter() -> None:
    users = {
        path.name
        for path in modules("")
        if path.parent.name != "platform"
        and "platform" in imports(path, 1) | imports(path, 2)
    }
    assert users == set()


def test_imports_inside_the_package_are_relative() -> None:
    absolute = {str(p) for p in modules("") if "cuminstile" in imports(p, 0)}
    assert absolute == set()
