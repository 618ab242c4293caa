"""How often each way to answer is drawn."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from . import answers, joined_answers, stage_answers
from .upstream import Answer

WEIGHTS: dict[Answer, int] = {
    answers.succeed: 60,
    answers.fail: 8,
    answers.refuse: 2,
    answers.refuse_without_id: 1,
    answers.chunked: 4,
    answers.end_by_connection: 2,
    answers.tear: 2,
    answers.reset: 2,
    answers.send_endlessly: 1,
    answers.answer_early: 3,
    answers.answer_twice: 16,
    joined_answers.begin_another: 8,
    joined_answers.tear_and_answer: 6,
    joined_answers.quote_answers: 5,
    joined_answers.add_noise: 4,
}
"""Ways to answer a request; the first takes the place of those that are left out."""
STAGE_WEIGHTS: dict[Answer, int] = {
    stage_answers.work: 80,
    stage_answers.refuse_work: 2,
    stage_answers.fail_items: 2,
    stage_answers.work_in_vain: 2,
    stage_answers.tear_results: 2,
    stage_answers.answer_work_twice: 12,
    stage_answers.work_again: 10,
}
"""Ways to answer a call for stage work, likewise."""


def make_draw(
    weights: dict[Answer, int], without: frozenset[str]
) -> Callable[[Random], Answer]:
    """Return a function that draws how to answer; `without` names ways left out."""
    ways = list(weights)

    def draw(rng: Random) -> Answer:
        way = rng.choices(ways, list(weights.values()))[0]
        return ways[0] if way.__name__ in without else way

    return draw
