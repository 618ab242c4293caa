"""The planted faults, each as a piece of code and what takes its place."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
UPSTREAM_ANSWERS = "cuminstile/gateway/sending.py"
ANSWER_PARSER = "cuminstile/gateway/answer_parser.py"


class StalePatchError(Exception):
    """The code that a fault replaces is not there exactly once."""


@dataclass(frozen=True)
class PlantedFault:
    """A piece of a file and its replacement.

    Parameters
    ----------
    file : str
        Path from the root of the repository.
    """

    name: str
    file: str
    code: str
    replacement: str

    def plant(self, folder: Path) -> None:
        """Write a copy of the program with the fault to a folder.

        Raises
        ------
        StalePatchError
            If the code has changed, so that the fault can't be planted.
        """
        shutil.copytree(
            ROOT / "cuminstile",
            folder / "cuminstile",
            ignore=shutil.ignore_patterns("__pycache__"),
            dirs_exist_ok=True,
        )
        text = (ROOT / self.file).read_text()
        if text.count(self.code) != 1:
            raise StalePatchError(f"{self.name}: {self.file} has changed")
        (folder / self.file).write_text(text.replace(self.code, self.replacement))


FAULTS = (
    PlantedFault(
        "the id of an answer is not compared",
        UPSTREAM_ANSWERS,
        "if not call.fields.attempt_id or fields.attempt_id == call.fields.attempt_id:",
        "if True:",
    ),
    PlantedFault(
        "a refusal without an id is believed on a used connection",
        UPSTREAM_ANSWERS,
        "if fields.attempt_id or connection.requests > 1:",
        "if fields.attempt_id:",
    ),
    PlantedFault(
        "an answer without an id is passed over",
        UPSTREAM_ANSWERS,
        "if not fields.attempt_id:\n            raise",
        "if False:\n            raise",
    ),
    PlantedFault(
        "a status that promises no run is passed on after a run",
        UPSTREAM_ANSWERS,
        "if head.status not in NOT_RUN_STATUSES:\n            headers =",
        "if True:\n            headers =",
    ),
    PlantedFault(
        "fields behind a body count as head fields",
        "cuminstile/gateway/http_server/connection.py",
        "        if not self.incoming.headers_done:\n"
        "            self.incoming.headers.append",
        "        if True:\n            self.incoming.headers.append",
    ),
    PlantedFault(
        "a stage answer is matched by its place",
        "cuminstile/gateway/stage_calls.py",
        "answer = await self.call(worker, request)\n",
        """async with self.pool.connection(
                    worker.id, worker.address, self.clock.now_ms
                ) as connection:
                    answer = await self.exchange(connection, request)
""",
    ),
    PlantedFault(
        "a head is not searched for a second status line",
        ANSWER_PARSER,
        "        self.check_head()\n",
        "",
    ),
    PlantedFault(
        "a connection is used again inside a message",
        "cuminstile/gateway/http_client.py",
        "            and not self.surplus_received\n            and self.transport",
        "            and not self.incoming\n            and self.transport",
    ),
    PlantedFault(
        "a request is sent again after a reset though not idempotent",
        "cuminstile/gateway/attempts.py",
        "        call.route.repeatable\n        and progress.answer.resumable\n"
        "        and progress.runs < call.route.max_attempts",
        "        progress.answer.resumable and progress.runs < 2",
    ),
    PlantedFault(
        "an empty list of keys is read as none",
        "cuminstile/platform/records.py",
        'organisations_of(raw) if "tenants" in raw else None',
        "organisations_of(raw) or None",
    ),
    PlantedFault(
        "a drain is dropped",
        "cuminstile/gateway/upstreams.py",
        "            not info.leaving\n            and process_of",
        "            process_of",
    ),
    PlantedFault(
        "an endless body is kept in memory",
        "cuminstile/gateway/http_client.py",
        "            if size > max_bytes:\n                self.close",
        "            if size < 0:\n                self.close",
    ),
    PlantedFault(
        "a guard never blames",
        "cuminstile/crash_limits.py",
        "CrashLimits(1, 3, QUARANTINE_MS)",
        "CrashLimits(1_000, 1_000, QUARANTINE_MS)",
    ),
    PlantedFault(
        "a guard blames for ten minutes",
        "cuminstile/gateway/crash_evidence.py",
        "process, now_ms, trial, parts, chance)\n",
        """process, now_ms, trial, parts, chance)
    for part in parts:
        suspect = guard.table.touch(part, now_ms, True)
        suspect.quarantined_until_ms = suspect.trial_until_ms = now_ms + 600_000.0
""",
    ),
    PlantedFault(
        "each VM takes the whole of a common limit",
        "cuminstile/gateway/retry_budget.py",
        "self.slack / max(1, vm_count)",
        "self.slack",
    ),
    PlantedFault(
        "requests at the end of a process get no answer",
        "cuminstile/shutdown/schedule.py",
        "max(began_ms, forced_at_ms - ANSWER_MARGIN_MS)",
        "forced_at_ms + ANSWER_MARGIN_MS",
    ),
    PlantedFault(
        "a torn stream ends as complete",
        ANSWER_PARSER,
        "if self.framed or not self.receiving_body:",
        "if not self.receiving_body:",
    ),
    PlantedFault(
        "the era of the store is not read",
        "cuminstile/platform/store.py",
        "    return int(value)\n",
        "    return None\n",
    ),
    PlantedFault(
        "a process that starts learns of no version that is held back",
        "cuminstile/rollouts/marks.py",
        "news = [self.put(mark, now_ms) for mark in marks]",
        "news: list[bool] = []",
    ),
)
