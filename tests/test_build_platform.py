"""Test script/build-platform, with a stand-in for Python that installs nothing."""

import os
import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PYTHON = """#!/bin/sh
if [ "$1" = -V ]; then echo Python 3.11.0; fi
if [ "$2" = pip ]; then mkdir -p target/deps && echo "$*" >> installed; fi
"""
MACHINE = """#!/bin/sh
cat machine
"""


@pytest.fixture
def tree(tmp_path: Path) -> Path:
    """Return a folder with the script, the requirements and the stand-ins."""
    (tmp_path / "script").mkdir()
    shutil.copy(ROOT / "script" / "build-platform", tmp_path / "script")
    shutil.copy(ROOT / "requirements-platform.txt", tmp_path)
    (tmp_path / "bin").mkdir()
    for name, text in (("python3", PYTHON), ("uname", MACHINE)):
        program = tmp_path / "bin" / name
        program.write_text(text)
        program.chmod(0o755)
    return tmp_path


def build(tree: Path, machine: str) -> int:
    """Build on one kind of machine; return how often packages were installed."""
    (tree / "machine").write_text(machine)
    path = f"{tree / 'bin'}:{os.environ['PATH']}"
    subprocess.run([tree / "script" / "build-platform"], check=True, env={"PATH": path})
    return len((tree / "installed").read_text().splitlines())


# Guards against packages of another kind of machine: the program does not start.
def test_a_folder_of_another_kind_of_machine_is_built_again(tree: Path) -> None:
    assert build(tree, "aarch64") == 1
    carried_over = tree / "target" / "deps" / "uvloop.so"
    carried_over.touch()
    assert build(tree, "x86_64") == 2
    assert not carried_over.exists()
    assert build(tree, "x86_64") == 2


def test_a_folder_without_a_mark_is_built_again(tree: Path) -> None:
    (tree / "target" / "deps").mkdir(parents=True)
    assert build(tree, "x86_64") == 1


def test_other_requirements_are_installed(tree: Path) -> None:
    assert build(tree, "x86_64") == 1
    with (tree / "requirements-platform.txt").open("a") as requirements:
        requirements.write("packaging\n")
    assert build(tree, "x86_64") == 2
