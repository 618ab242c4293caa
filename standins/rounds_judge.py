"""Judge a round of bookings against what the services recorded of their runs."""

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
    """Hold one run of a booking, as its service recorded it.

    Parameters
    ----------
    number : int
        Which run of that service it was, from 1.
    request : str
        Name of the request that caused it.
    booking : tuple of str
        The organisation and its idempotency key.
    """

    service: str
    number: int
    request: str
    booking: tuple[str, str]


@dataclass(frozen=True)
class Sending:
    """Hold one sending of a booking and what came back.

    Parameters
    ----------
    booking : tuple of str
        The organisation and its idempotency key.
    sent_ms, ended_ms : int
        Times of day in ms since 1970 UTC.
    is_last : bool
        Whether it left after every fault had ended.
    """

    booking: tuple[str, str]
    vm: str
    sent_ms: int
    ended_ms: int
    reply: Reply
    is_last: bool = False

    def denies(self) -> bool:
        """Return whether a VM refused it and said that nothing ran."""
        return self.reply.result is Result.REFUSED and self.reply.ran == NOT_RUN

    def shown(self) -> str:
        """Return what a report tells of it."""
        reply = self.reply
        kind = "resend" if reply.sent.is_resend else "first sending"
        told = f"{reply.result} {reply.code} {reply.ran}".strip()
        key = "/".join(self.booking)
        return f"{kind} of {key} by {self.vm} at {self.sent_ms}: {told}"


@dataclass(frozen=True)
class Verdict:
    """Hold what was wrong in a round: one text for each finding."""

    doubled: tuple[str, ...] = ()
    untrue: tuple[str, ...] = ()
    crossed: tuple[str, ...] = ()
    stuck: tuple[str, ...] = ()

    def findings(self) -> tuple[str, ...]:
        """Return every finding with its kind."""
        kinds: Mapping[str, Sequence[str]] = vars(self)
        return tuple(
            f"{kind}: {text}" for kind, found in kinds.items() for text in found
        )


def read_runs(service: str, rows: Iterable[Mapping[str, Any]]) -> list[BookingRun]:
    """Return the runs that a service tells of; each call is named after its request."""
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
    sendings: Sequence[Sending], runs: Sequence[BookingRun], logs: Sequence[Path]
) -> Verdict:
    """Judge the sendings of a round; `logs` tell which VM a request came to."""
    counts = Counter(run.booking for run in runs)
    wanted = {item.booking for item in sendings}
    doubled = [
        f"{'/'.join(booking)} ran {count} times"
        for booking, count in counts.items()
        if count > 1 and booking in wanted
    ]
    by_number = {(run.service, run.number): run for run in runs}
    crossed = [item.shown() for item in sendings if is_crossed(item, by_number)]
    stuck = [item.shown() for item in sendings if item.is_last and is_stuck(item)]
    untrue = find_untrue(sendings, runs, logs)
    return Verdict(tuple(doubled), tuple(untrue), tuple(crossed), tuple(stuck))


def is_crossed(
    sending: Sending, by_number: Mapping[tuple[str, int], BookingRun]
) -> bool:
    """Return whether an answer is not that of a run of the sending's own booking."""
    if sending.reply.result is Result.WRONG:
        return True
    if sending.reply.result is not Result.ANSWERED:
        return False
    output = sending.reply.body["output"]
    run = by_number.get((output["service"], output["run"]))
    return run is None or run.booking != sending.booking


def is_stuck(sending: Sending) -> bool:
    """Return whether a last sending was neither answered nor truly refused."""
    return sending.reply.result is Result.LOST or sending.denies()


def find_untrue(
    sendings: Sequence[Sending], runs: Sequence[BookingRun], logs: Sequence[Path]
) -> list[str]:
    """Return the refusals that deny a run which they must not deny.

    A resend may deny nothing. A first sending may not deny a run that it caused: one
    whose request came to its VM while it was under way.
    """
    denied = [item for item in sendings if item.denies()]
    untrue = [item.shown() for item in denied if item.reply.sent.is_resend]
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
            untrue.append(f"{item.shown()}, though request {run.request} ran")
    return untrue


def read_arrivals(logs: Sequence[Path]) -> dict[str, tuple[str, int]]:
    """Return to which VM each request came, and when, in ms since 1970 UTC.

    A request that no log tells of may have come anywhere.
    """
    entries = read_logs(logs, Selection()).entries
    return {
        str(entry.fields["request"]): (entry.vm, entry.stamp.wall_ms)
        for entry in entries
        if entry.name == REQUEST_STARTED
    }
