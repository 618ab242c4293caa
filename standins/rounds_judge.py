"""Check the replies to a round of bookings against the runs that services recorded."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cuminstile.commands.timeline import Selection, read_logs

from .caller import Reply, Result

NOT_RUN = "not_run"
REQUEST_STARTED = "request_started"


@dataclass(frozen=True)
class BookingRun:
    """One run of a booking, as recorded by its service.

    Parameters
    ----------
    number : int
        Position among the runs of that service, from 1.
    request : str
        Id of the request that caused it.
    booking : tuple of str
        The organisation and its idempotency key.
    """

    service: str
    number: int
    request: str
    booking: tuple[str, str]


@dataclass(frozen=True)
class SendAttempt:
    """One attempt to send a booking, and its reply.

    Parameters
    ----------
    booking : tuple of str
        The organisation and its idempotency key.
    sent_ms, ended_ms : int
        Start and end of the attempt in ms since 1970 UTC.
    is_last : bool
        Whether it was sent after all faults had ended.
    """

    booking: tuple[str, str]
    vm: str
    sent_ms: int
    ended_ms: int
    reply: Reply
    is_last: bool = False

    def denies_run(self) -> bool:
        """Return whether a VM refused it and reported that nothing ran."""
        return self.reply.result is Result.REFUSED and self.reply.ran == NOT_RUN

    def describe(self) -> str:
        """Return the attempt and its reply as text for a finding."""
        reply = self.reply
        kind = "resend" if reply.sent.is_resend else "first attempt"
        outcome = f"{reply.result} {reply.code} {reply.ran}".strip()
        key = "/".join(self.booking)
        return f"{kind} of {key} to {self.vm} at {self.sent_ms}: {outcome}"


@dataclass(frozen=True)
class Verdict:
    """Findings about a round, as texts by kind.

    Parameters
    ----------
    doubled : tuple of str
        Bookings that ran more than once.
    untrue : tuple of str
        Refusals with `not_run` of a resend, or of a first attempt that caused a run.
    crossed : tuple of str
        Answers that are not those of a run of the same booking.
    stuck : tuple of str
        Last attempts that were lost or refused with `not_run`.
    """

    doubled: tuple[str, ...] = ()
    untrue: tuple[str, ...] = ()
    crossed: tuple[str, ...] = ()
    stuck: tuple[str, ...] = ()

    def findings(self) -> tuple[str, ...]:
        """Return all findings, each with its kind."""
        kinds: Mapping[str, Sequence[str]] = vars(self)
        return tuple(
            f"{kind}: {text}" for kind, found in kinds.items() for text in found
        )


def read_runs(service: str, rows: Iterable[Mapping[str, Any]]) -> list[BookingRun]:
    """Parse the runs reported by a service.

    The id of an attempt starts with the id of its request.
    """
    return [
        BookingRun(
            service,
            number,
            row["attempt"].partition(".")[0],
            (row["organisation"], row["idempotency_key"]),
        )
        for number, row in enumerate(rows, 1)
    ]


def judge(
    attempts: Sequence[SendAttempt], runs: Sequence[BookingRun], logs: Sequence[Path]
) -> Verdict:
    """Check the attempts of a round; `logs` show which VM received a request."""
    counts = Counter(run.booking for run in runs)
    bookings = {item.booking for item in attempts}
    doubled = [
        f"{'/'.join(booking)} ran {count} times"
        for booking, count in counts.items()
        if count > 1 and booking in bookings
    ]
    by_number = {(run.service, run.number): run for run in runs}
    crossed = [item.describe() for item in attempts if is_crossed(item, by_number)]
    stuck = [item.describe() for item in attempts if item.is_last and is_stuck(item)]
    untrue = find_untrue(attempts, runs, logs)
    return Verdict(tuple(doubled), tuple(untrue), tuple(crossed), tuple(stuck))


def is_crossed(
    attempt: SendAttempt, by_number: Mapping[tuple[str, int], BookingRun]
) -> bool:
    """Return whether an answer does not come from a run of the same booking."""
    if attempt.reply.result is Result.WRONG:
        return True
    if attempt.reply.result is not Result.ANSWERED:
        return False
    output = attempt.reply.body["output"]
    run = by_number.get((output["service"], output["run"]))
    return run is None or run.booking != attempt.booking


def is_stuck(attempt: SendAttempt) -> bool:
    """Return whether a last attempt was lost, or refused as if nothing had ever run."""
    return attempt.reply.result is Result.LOST or attempt.denies_run()


def find_untrue(
    attempts: Sequence[SendAttempt], runs: Sequence[BookingRun], logs: Sequence[Path]
) -> list[str]:
    """Return the refusals that say `not_run` although they must not.

    The refusal of a resend must never say `not_run`. That of a first attempt must not
    say so if the attempt caused a run: if the request of the run arrived at the VM of
    the attempt while the attempt was in progress.
    """
    denied = [item for item in attempts if item.denies_run()]
    untrue = [item.describe() for item in denied if item.reply.sent.is_resend]
    ran = {run.booking: run for run in runs}
    firsts = [
        item for item in denied if not item.reply.sent.is_resend and item.booking in ran
    ]
    if not firsts:
        return untrue
    arrivals = read_arrivals(logs)
    for item in firsts:
        run = ran[item.booking]
        vm, at_ms = arrivals.get(run.request, (item.vm, item.sent_ms))
        if vm == item.vm and item.sent_ms <= at_ms <= item.ended_ms:
            untrue.append(f"{item.describe()}, but request {run.request} ran")
    return untrue


def read_arrivals(logs: Sequence[Path]) -> dict[str, tuple[str, int]]:
    """Return the VM that received each request, and when, in ms since 1970 UTC.

    A request that is in no log may have arrived at any VM.
    """
    entries = read_logs(logs, Selection()).entries
    return {
        str(entry.fields["request"]): (entry.vm, entry.stamp.wall_ms)
        for entry in entries
        if entry.name == REQUEST_STARTED
    }
