"""Run each scenario file against real processes, one file at a time."""

from collections import Counter, defaultdict
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from standins.scenario import Scenario
from standins.scenario_run import load_scenario, run_scenario
from standins.scenario_steps import FAULTS

FOLDER = Path(__file__).parent
FILES = sorted(FOLDER.glob("*.scn"))
PROMISES = {
    "results",
    "cold-starts",
    "data-centre-out",
    "bad-version",
    "whole-answers",
    "true-refusals",
    "at-most-once",
    "leaving-upstream",
    "graceful-shutdown",
    "configuration",
}


class GoldenFile(SingleFileSnapshotExtension):
    """Snapshot extension that stores one text file for each scenario."""

    _write_mode = WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def golden(snapshot: SnapshotAssertion) -> SnapshotAssertion:
    return snapshot.use_extension(GoldenFile)


@pytest.mark.process
@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
async def test_scenario(path: Path, golden: SnapshotAssertion, tmp_path: Path) -> None:
    scenario = load_scenario(path)
    report = await run_scenario(scenario, tmp_path)
    if report.problems:
        pytest.fail(str(report), pytrace=False)
    if report.session:
        assert report.session == golden(name=scenario.name)


def faults_of(scenario: Scenario) -> set[str]:
    return {step.verb for step in scenario.steps if step.verb in FAULTS}


def test_each_promise_has_two_scenarios_one_with_two_faults() -> None:
    scenarios = [load_scenario(path) for path in FILES]
    count: Counter[str] = Counter()
    with_two_faults: dict[str, list[str]] = defaultdict(list)
    for scenario in scenarios:
        for promise in scenario.words_of("promise"):
            count[promise] += 1
            if len(faults_of(scenario)) >= 2:
                with_two_faults[promise].append(scenario.name)
    assert set(count) == PROMISES
    assert {name: count[name] for name in PROMISES if count[name] < 2} == {}
    assert PROMISES - set(with_two_faults) == set()
