"""Run one VM on the users' platform; `deploy/system.toml` starts this program."""

from __future__ import annotations

from .early_signals import keep_signals


def main() -> None:
    """Start the program; signals are kept before its modules are imported."""
    early = keep_signals()
    # Importing the rest takes some tenths of a second.
    from .program import run_program

    run_program(early)


if __name__ == "__main__":
    main()
