"""Expectations of the scenario language about the replies that callers got."""

from collections import Counter

from .caller import Reply, Result
from .scenario_session import Session

# A refusal sent at the deadline takes this long to reach its caller on a busy machine.
DEADLINE_MARGIN_MS = 200

Problems = list[str]


def expect_answered(
    session: Session, *names: str, without: str = "", share: float = 1.0
) -> Problems:
    """Check that a share of the requests was answered.

    Requests lost at the VM `without` are not counted.
    """
    problems = []
    for name in names:
        sent = session.requests[name]
        if not sent.done.is_set():
            problems.append(f"{name}: not every request has its reply yet")
        counted = [item for item in sent.replies if not is_lost_at(item, without)]
        good = [item for item in counted if item.result is Result.ANSWERED]
        if len(good) < share * len(counted) or not good:
            others = Counter(
                describe_reply(item) for item in counted if item not in good
            )
            problems.append(
                f"{name}: {len(good)} of {len(counted)} answered; {dict(others)}"
            )
    return problems


def is_lost_at(reply: Reply, vm: str) -> bool:
    """Return whether a reply was lost at the given VM; False if `vm` is empty."""
    return bool(vm) and reply.vm == vm and reply.result is Result.LOST


def describe_reply(reply: Reply) -> str:
    """Return result, code, run status and faults of a reply in one line."""
    return " ".join((reply.result, reply.code, reply.ran, *reply.faults)).strip()


def expect_in_time(session: Session, *names: str, share: float = 1.0) -> Problems:
    """Check that a share of the requests was answered before their deadlines."""
    problems = []
    for name in names:
        replies = session.requests[name].replies
        good = sum(reply.good for reply in replies)
        if good < share * len(replies) or not replies:
            problems.append(f"{name}: {good} of {len(replies)} in time")
    return problems


def expect_ended_by_deadline(session: Session, *names: str) -> Problems:
    """Check that each request was answered or refused by its deadline."""
    pending = [name for name in names if not session.requests[name].done.is_set()]
    problems = [f"{name}: not every request has its reply yet" for name in pending]
    for name in names:
        problems += [
            f"{reply.sent.mark}: {describe_reply(reply)}"
            f" after {reply.latency_ms:.0f} ms"
            for reply in session.requests[name].replies
            if reply.latency_ms > reply.sent.deadline_ms + DEADLINE_MARGIN_MS
            or reply.result is Result.LOST
        ]
    return problems


def expect_whole(session: Session) -> Problems:
    """Check that no answer was another's, truncated or with tokens out of order."""
    return [
        f"{reply.sent.mark} at {reply.vm}: {describe_reply(reply)}"
        for reply in session.all_replies
        if reply.result is Result.WRONG
    ]


def expect_refused(
    session: Session, *names: str, code: str = "", ran: str = ""
) -> Problems:
    """Check that requests were refused, optionally with a code and a run status."""
    problems = []
    for name in names:
        replies = session.requests[name].replies
        for reply in replies:
            matches = reply.result is Result.REFUSED
            matches = matches and code in ("", reply.code) and ran in ("", reply.ran)
            if not matches:
                problems.append(f"{name}: {describe_reply(reply)}")
        if not replies:
            problems.append(f"{name}: no reply yet")
    return problems
