"""Test that each kind of fault in a round of bookings is found."""

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from standins.caller import CallerRequest, Reply, Result
from standins.rounds_judge import BookingRun, SendAttempt, Verdict, judge

BOOKING = ("org", "k")
REQUEST = CallerRequest("booking", "key", "mark", 1_000, idempotency_key="k")
RUN = BookingRun("service", 1, "r1", BOOKING)
OUTPUT = {"output": {"service": "service", "run": 1, "marks": ["mark"]}}
ANSWER = SendAttempt(
    BOOKING, "a1", 0, 50, Reply(REQUEST, "a1", Result.ANSWERED, body=OUTPUT)
)


def refused(ran: str, is_resend: bool = False, **fields: Any) -> SendAttempt:
    """Return an attempt at `a1`, in progress from 100 to 200 ms, that was refused."""
    request = replace(REQUEST, is_resend=is_resend)
    reply = Reply(request, "a1", Result.REFUSED, "overloaded", ran)
    return replace(SendAttempt(BOOKING, "a1", 100, 200, reply), **fields)


def judged(tmp_path: Path, *attempts: SendAttempt, runs: Any = (RUN,)) -> Verdict:
    """Check attempts; the log says that request `r1` arrived at `a1` at 150 ms."""
    line = {"event": "request_started", "vm": "a1", "stamp": [150, 0], "request": "r1"}
    log = tmp_path / "a1.log"
    log.write_text(json.dumps({**line, "message_type": "cuminstile:2001"}) + "\n")
    return judge(attempts, runs, [log])


def test_correct_replies_have_no_findings(tmp_path: Path) -> None:
    unknown = refused("unknown", True, is_last=True)
    assert judged(tmp_path, ANSWER, unknown).findings() == ()
    assert judged(tmp_path, refused("not_run"), runs=()).findings() == ()


def test_a_key_that_ran_twice_is_doubled(tmp_path: Path) -> None:
    again = replace(RUN, number=2, request="r2")
    theirs = replace(again, booking=("other", "k"))
    assert len(judged(tmp_path, ANSWER, runs=(RUN, again)).doubled) == 1
    assert judged(tmp_path, ANSWER, runs=(RUN, theirs)).doubled == ()


def test_a_denied_run_is_untrue_if_the_attempt_caused_it(tmp_path: Path) -> None:
    assert len(judged(tmp_path, refused("not_run")).untrue) == 1
    earlier = refused("not_run", sent_ms=0, ended_ms=90)
    assert judged(tmp_path, earlier, replace(ANSWER, sent_ms=100)).untrue == ()
    elsewhere = refused("not_run", vm="a2")
    assert judged(tmp_path, elsewhere, ANSWER).untrue == ()
    unlogged = replace(RUN, request="r9")
    assert len(judged(tmp_path, refused("not_run"), runs=(unlogged,)).untrue) == 1
    assert len(judged(tmp_path, refused("not_run", True), runs=()).untrue) == 1


def test_an_answer_of_another_booking_is_crossed(tmp_path: Path) -> None:
    theirs = replace(RUN, booking=("other", "k"))
    assert len(judged(tmp_path, ANSWER, runs=(theirs,)).crossed) == 1
    assert len(judged(tmp_path, ANSWER, runs=()).crossed) == 1
    wrong = replace(ANSWER, reply=replace(ANSWER.reply, result=Result.WRONG))
    assert len(judged(tmp_path, wrong).crossed) == 1


def test_a_last_attempt_that_is_lost_is_stuck(tmp_path: Path) -> None:
    lost = replace(ANSWER, reply=replace(ANSWER.reply, result=Result.LOST))
    assert judged(tmp_path, lost).stuck == ()
    assert len(judged(tmp_path, replace(lost, is_last=True)).stuck) == 1
