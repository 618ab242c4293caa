"""Test trials: each study distinguishes the policy in use from its baselines."""

import pytest

from trials import policy_ejection, policy_quarantine, policy_ramp, policy_retries
from trials.policy_tables import Spread, cell, measure, spreads_of


@pytest.mark.parametrize("seed", range(2))
async def test_ramp_never_exceeds_the_capacity(seed):
    case = policy_ramp.RampCase(policy_ramp.cold(8), turns_cold=True)
    result = await policy_ramp.run(case, policy_ramp.use_ramp, seed)
    assert result.excess == 0
    assert result.full_s >= result.ideal_s > 0


async def test_calls_above_the_capacity_count_as_excess():
    case = policy_ramp.RampCase(policy_ramp.cold(8))
    result = await policy_ramp.run(case, policy_ramp.all_at_once, 0)
    assert result.excess > 0
    assert result.full_s == float("inf")


async def test_ejection_answers_more_requests_than_no_ejection():
    case = policy_ejection.STUDY.cases["1 of 4 fails all within 5 ms"]
    ours, none = policy_ejection.STUDY.policies.values()
    ejected = await policy_ejection.run(case, ours, 0)
    assert ejected.most_ejected == 1
    assert ejected.answered > (await policy_ejection.run(case, none, 0)).answered


async def test_crashing_request_crashes_two_upstreams_at_most():
    case = policy_quarantine.PoisonCase(1, 4, 700.0)
    assert (await policy_quarantine.run(case, True, 0)).crashed <= 2
    assert (await policy_quarantine.run(case, False, 0)).crashed > 2


async def test_same_seed_gives_the_same_result():
    case = policy_retries.RetryCase(0.5, calls_per_s=40.0)
    budgets = [policy_retries.RetryBudget] * 2
    first, second = [await policy_retries.run(case, item, 3) for item in budgets]
    assert first == second
    assert first.attempts > 1.0


def test_cell_shows_mean_and_range_and_never():
    results = [policy_ramp.RampResult(1.0, 1.0, value, 3.0) for value in (0.0, 4.0)]
    assert cell(spreads_of(results)[2], 1) == "2.0 (0.0-4.0)"
    assert cell(Spread("f", None, 1.5, None), 1) == "never (1.5-never)"


def test_unknown_case_gives_no_row(capsys):
    assert measure(policy_ramp.STUDY, 1, "no such case", "") == []
