"""Check that the caller detects what is wrong with a response."""

from standins.caller import CallerRequest, Result, StreamCheck, parse_reply

REQUEST = CallerRequest("chat", "key", "mine", 1_000)


def answer(*marks: str) -> dict:
    """Return the body of a complete answer with some marks."""
    return {"request": "r", "output": {"marks": list(marks)}, "steps": []}


def test_a_stream_with_gaps_or_duplicates_is_reported() -> None:
    check = StreamCheck()
    check.add_event(0, ["a", "b"])
    check.add_event(2, ["c"])
    assert not check.faults
    check.add_event(2, ["c"])
    check.add_event(9, ["d"])
    assert len(check.faults) == 2


def test_an_answer_with_another_callers_mark_is_wrong() -> None:
    assert parse_reply(REQUEST, "vm", answer("mine"), 5.0).result is Result.ANSWERED
    assert parse_reply(REQUEST, "vm", answer("other"), 5.0).result is Result.WRONG
    assert (
        parse_reply(REQUEST, "vm", answer("mine", "other"), 5.0).result is Result.WRONG
    )
    assert parse_reply(REQUEST, "vm", answer(), 5.0).result is Result.WRONG


def test_a_late_answer_is_not_good() -> None:
    assert parse_reply(REQUEST, "vm", answer("mine"), 999.0).good
    assert not parse_reply(REQUEST, "vm", answer("mine"), 1_001.0).good


def test_a_refusal_keeps_its_code_and_whether_it_ran() -> None:
    body = {"error": {"code": "overloaded", "message": "m", "ran": "not_run"}}
    reply = parse_reply(REQUEST, "vm", body, 5.0)
    assert (reply.result, reply.code, reply.ran) == (
        Result.REFUSED,
        "overloaded",
        "not_run",
    )
