"""Compare each policy with its baselines over several seeds."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import fire

from . import (
    policy_choice,
    policy_ejection,
    policy_prefix,
    policy_quarantine,
    policy_ramp,
    policy_retries,
)
from .policy_tables import Study, as_json, measure

STUDIES: dict[str, Study[Any, Any]] = {
    "retries": policy_retries.STUDY,
    "ejection": policy_ejection.STUDY,
    "quarantine": policy_quarantine.STUDY,
    "ramp": policy_ramp.STUDY,
    "choice": policy_choice.STUDY,
    "prefix": policy_prefix.STUDY,
}


def main(
    study: str, seeds: int = 5, case: str = "", policy: str = "", json: str = ""
) -> None:
    """Print the Markdown table of a study, and write it to a JSON file if one is named.

    Parameters
    ----------
    study : str
        One of the names in `STUDIES`, or `all`.
    case, policy : str
        The only case or policy to run; empty for all.
    json : str
        Path of the JSON file; `{study}` stands for the name of the study.
    """
    names = list(STUDIES) if study == "all" else [study]
    for name in names:
        print(f"\n{name}, seeds 0 to {seeds - 1}: mean (lowest-highest)\n")
        rows = measure(STUDIES[name], seeds, case, policy)
        if json:
            Path(json.format(study=name)).write_text(as_json(rows) + "\n")


if __name__ == "__main__":
    fire.Fire(main, name="measure-policies")
