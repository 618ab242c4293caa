"""Start, freeze and end the programs of a test arrangement, each by its own id."""

import random
import signal
import socket
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from .serving import HOST

FIRST_PORT = 12_000
LAST_PORT = 32_000
READY_LIMIT_MS = 15_000
POLL_INTERVAL_MS = 20
END_LIMIT_S = 5.0


@dataclass
class Program:
    """Hold one program that runs as a process of its own.

    Parameters
    ----------
    arguments : tuple of str
        What follows the interpreter.
    output : Path
        File with the standard output and error of every start.
    begins : int
        Where the output of the last start begins, in bytes.
    """

    name: str
    arguments: tuple[str, ...]
    output: Path
    process: "subprocess.Popen[bytes] | None" = None
    frozen: bool = False
    begins: int = 0

    def start(self, environment: Mapping[str, str]) -> None:
        """Start it, or start it again after it has ended."""
        with self.output.open("ab") as output:
            self.begins = output.tell()
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=dict(environment),
            )
        self.frozen = False

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal if it runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Stop it in the middle of whatever it does."""
        self.send_signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)
        self.frozen = False

    def kill(self) -> None:
        """End it at once, without a word."""
        self.send_signal(signal.SIGKILL)
        self.wait(END_LIMIT_S)

    def terminate(self) -> None:
        """Ask it to end."""
        if self.frozen:
            self.resume()
        self.send_signal(signal.SIGTERM)

    def wait(self, limit_s: float) -> int | None:
        """Return its exit status, or None if it has not ended in time."""
        if self.process is None:
            return None
        try:
            return self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None

    def text(self) -> str:
        """Return what it has printed since its last start."""
        return self.output.read_bytes()[self.begins :].decode("utf-8", "replace")


@dataclass
class Programs:
    """Hold every program of an arrangement by name."""

    by_name: dict[str, Program] = field(default_factory=dict)

    def add(self, program: Program) -> Program:
        """Know a program, so that it is ended with the others."""
        self.by_name[program.name] = program
        return program

    def end_all(self) -> None:
        """End every program: ask first, then kill those that stay."""
        programs = tuple(self.by_name.values())
        for program in programs:
            program.terminate()
        for program in programs:
            if program.wait(END_LIMIT_S) is None:
                program.kill()


class NotReadyError(Exception):
    """Tell that a program did not become ready; carries what it printed."""


async def wait_until_ready(program: Program) -> None:
    """Wait for the line `ready PORT` of a stand-in that has just started.

    Raises
    ------
    NotReadyError
        If it ends, or says nothing in time.
    """
    with anyio.move_on_after(READY_LIMIT_MS / 1000.0):
        while program.is_running():
            if "ready " in program.text():
                return
            await anyio.sleep(POLL_INTERVAL_MS / 1000.0)
    raise NotReadyError(f"{program.name} is not ready: {program.text()[-2000:]}")


@dataclass
class Ports:
    """Hand out free ports below those that the machine gives to connections."""

    rng: random.Random = field(default_factory=random.Random)
    taken: set[int] = field(default_factory=set)

    def acquire(self) -> int:
        """Return a port that nothing listens on."""
        while True:
            port = self.rng.randrange(FIRST_PORT, LAST_PORT)
            if port in self.taken or not is_free(port):
                continue
            self.taken.add(port)
            return port


def is_free(port: int) -> bool:
    """Return whether a port can be listened on."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
