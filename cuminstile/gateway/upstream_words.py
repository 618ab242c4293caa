"""Record what upstreams say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, Journal
from .model import Upstream
from .upstream_protocol import AnswerFields
from .upstreams import UpstreamTable, process_of

if TYPE_CHECKING:
    from .state import Gateway


def record_words(vm: Gateway, info: Upstream, fields: AnswerFields) -> None:
    """Record what an upstream says in the answer to a request; count what is new."""
    process = process_of(info.id, info.started_ms)
    words = apply_words(
        vm.table, process, fields.leaving, fields.closed_ms, vm.clock.now_ms()
    )
    for word in words:
        vm.metrics.words_total.inc({"service": info.service, "word": word})
        record_word(vm.journal, info.id, info.service, word, fields.closed_ms)


def apply_words(
    table: UpstreamTable, process: str, leaving: bool, closed_ms: float, now_ms: float
) -> list[str]:
    """Apply the words of an answer to the table; return those that are new."""
    words = []
    if leaving and table.record_left(process, now_ms):
        words.append("leaving")
    if closed_ms and table.record_closed(process, now_ms + closed_ms):
        words.append("closed")
    return words


def record_word(
    journal: Journal, upstream: str, service: str, word: str, closed_ms: float
) -> None:
    """Log a word of an upstream that is new."""
    journal.record(
        Event.UPSTREAM_SAID,
        upstream=upstream,
        service=service,
        word=word,
        for_ms=round(closed_ms),
    )
