"""Test cuminstile.evidence."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminstile.evidence import CallCounter, CallResult, Evidence, EvidenceTable
from cuminstile.sequential import EXTRA_BAD_FRACTIONS

MESSAGES = [
    (source, route, Evidence(new_good=count, old_good=3 * count))
    for source in ("vm-1/x", "vm-1/y", "vm-2/x")
    for route in (1, 2)
    for count in (1, 5, 9)
]


@given(st.permutations(MESSAGES), st.lists(st.sampled_from(MESSAGES)))
def test_evidence_is_the_same_in_any_order_and_when_sent_again(
    messages: list, again: list
) -> None:
    evidence_table = EvidenceTable()
    for source, route, evidence in (*messages, *again):
        evidence_table.apply_evidence(source, route, evidence)
    # Three sources, each with 9 good calls of the new version in its last message.
    assert evidence_table.by_route() == {
        1: Evidence(new_good=27, old_good=81),
        2: Evidence(new_good=27, old_good=81),
    }


@pytest.mark.parametrize("kind", [CallResult.FAILED, CallResult.LATE])
def test_counter_bets_against_the_new_version_only_for_its_own_badness(
    kind: CallResult,
) -> None:
    worse, better = CallCounter(), CallCounter()
    for _ in range(20):
        worse.count(kind, True, 0.5)
        better.count(kind, False, 0.5)
    bets = len(EXTRA_BAD_FRACTIONS)
    is_failed = kind == CallResult.FAILED
    own = slice(0, bets) if is_failed else slice(bets, None)
    assert min(worse.evidence.log_bets[own]) > 0
    assert max(better.evidence.log_bets[own]) < 0
    if is_failed:
        # A failed call is no evidence on lateness.
        late = worse.evidence.log_bets[bets:] + better.evidence.log_bets[bets:]
        assert set(late) == {0}
    else:
        assert max(worse.evidence.log_bets[:bets]) < 0


def test_what_is_left_out_changes_nothing() -> None:
    counter = CallCounter()
    counter.count(CallResult.LEFT_OUT, True, 0.5)
    assert counter.evidence == Evidence()
