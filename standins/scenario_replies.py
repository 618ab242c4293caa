"""Check what a scenario expects of the replies that callers got."""

from collections import Counter

from .caller import Reply, Result
from .scenario_session import Session

# What a refusal at the deadline takes to reach its caller on a busy machine.
DEADLINE_MARGIN_MS = 200

Problems = list[str]


def expect_answered(
    session: Session, *names: str, without: str = "", share: float = 1.0
) -> Problems:
    """Check that requests have whole answers, but for those lost with one VM."""
    problems = []
    for name in names:
        sent = session.sent[name]
        if not sent.done.is_set():
            problems.append(f"{name}: not every request has its reply yet")
        counted = [item for item in sent.replies if not lost_with(item, without)]
        good = [item for item in counted if item.result is Result.ANSWERED]
        if len(good) < share * len(counted) or not good:
            others = Counter(shown(item) for item in counted if item not in good)
            problems.append(f"{name}: {len(good)} of {len(counted)}; {dict(others)}")
    return problems


def lost_with(reply: Reply, vm: str) -> bool:
    """Return whether a reply was lost at a VM that a fault had hit."""
    return bool(vm) and reply.vm == vm and reply.result is Result.LOST


def shown(reply: Reply) -> str:
    """Return a reply that is no answer in a few words."""
    return " ".join((reply.result, reply.code, reply.ran, *reply.faults)).strip()


def expect_in_time(session: Session, *names: str, share: float = 1.0) -> Problems:
    """Check that a share of the requests was answered by its deadline."""
    problems = []
    for name in names:
        replies = session.sent[name].replies
        good = sum(reply.good for reply in replies)
        if good < share * len(replies) or not replies:
            problems.append(f"{name}: {good} of {len(replies)} in time")
    return problems


def expect_ended_by_deadline(session: Session, *names: str) -> Problems:
    """Check that each request had an answer or a refusal by its deadline."""
    open_names = [name for name in names if not session.sent[name].done.is_set()]
    problems = [f"{name}: not every request has its reply yet" for name in open_names]
    for name in names:
        problems += [
            f"{reply.sent.mark}: {shown(reply)} after {reply.latency_ms:.0f} ms"
            for reply in session.sent[name].replies
            if reply.latency_ms > reply.sent.deadline_ms + DEADLINE_MARGIN_MS
            or reply.result is Result.LOST
        ]
    return problems


def expect_whole(session: Session) -> Problems:
    """Check that no answer was another's, cut short, or with tokens out of order."""
    return [
        f"{reply.sent.mark} at {reply.vm}: {shown(reply)}"
        for reply in session.every
        if reply.result is Result.WRONG
    ]


def expect_refused(
    session: Session, *names: str, code: str = "", ran: str = ""
) -> Problems:
    """Check that requests were refused, with a code and what is said of the run."""
    problems = []
    for name in names:
        replies = session.sent[name].replies
        for reply in replies:
            right = reply.result is Result.REFUSED
            right = right and code in ("", reply.code) and ran in ("", reply.ran)
            if not right:
                problems.append(f"{name}: {shown(reply)}")
        if not replies:
            problems.append(f"{name}: no reply yet")
    return problems
