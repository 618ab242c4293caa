"""Start, freeze and stop the processes of a test arrangement, each by its own id."""

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
    """Program that runs in its own process.

    Parameters
    ----------
    arguments : tuple of str
        Arguments to the Python interpreter.
    output : Path
        File that receives the standard output and error of all starts.
    output_start_bytes : int
        Offset in the file at which the output of the last start begins, in bytes.
    """

    name: str
    arguments: tuple[str, ...]
    output: Path
    process: "subprocess.Popen[bytes] | None" = None
    frozen: bool = False
    output_start_bytes: int = 0

    def start(self, environment: Mapping[str, str]) -> None:
        """Start the process, or restart it after it has exited."""
        with self.output.open("ab") as output:
            self.output_start_bytes = output.tell()
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=dict(environment),
            )
        self.frozen = False

    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self.send_signal(signal.SIGCONT)
        self.frozen = False

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.wait(END_LIMIT_S)

    def terminate(self) -> None:
        """Send SIGTERM to the process; resume it first if it is frozen."""
        if self.frozen:
            self.resume()
        self.send_signal(signal.SIGTERM)

    def wait(self, limit_s: float) -> int | None:
        """Return the exit status, or None if the process has not exited in time."""
        if self.process is None:
            return None
        try:
            return self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None

    def read_output(self) -> str:
        """Return the output since the last start."""
        return self.output.read_bytes()[self.output_start_bytes :].decode(
            "utf-8", "replace"
        )


@dataclass
class Programs:
    """All programs of an arrangement by name."""

    by_name: dict[str, Program] = field(default_factory=dict)

    def add(self, program: Program) -> Program:
        """Add a program, so that `end_all` stops it, and return it."""
        self.by_name[program.name] = program
        return program

    def end_all(self) -> None:
        """Terminate all programs, and kill those that do not exit in time."""
        programs = tuple(self.by_name.values())
        for program in programs:
            program.terminate()
        for program in programs:
            if program.wait(END_LIMIT_S) is None:
                program.kill()


class NotReadyError(Exception):
    """A program did not become ready; carries its output."""


async def wait_until_ready(program: Program) -> None:
    """Wait for the line `ready PORT` of a program that was just started.

    Raises
    ------
    NotReadyError
        If it exits, or does not print the line in time.
    """
    with anyio.move_on_after(READY_LIMIT_MS / 1000.0):
        while program.is_running():
            if "ready " in program.read_output():
                return
            await anyio.sleep(POLL_INTERVAL_MS / 1000.0)
    raise NotReadyError(
        f"{program.name} did not become ready: {program.read_output()[-2000:]}"
    )


@dataclass
class Ports:
    """Allocator of free ports below the ephemeral port range of the kernel."""

    rng: random.Random = field(default_factory=random.Random)
    reserved: set[int] = field(default_factory=set)

    def acquire(self) -> int:
        """Return a free port that was not returned before."""
        while True:
            port = self.rng.randrange(FIRST_PORT, LAST_PORT)
            if port in self.reserved or not is_free(port):
                continue
            self.reserved.add(port)
            return port


def is_free(port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
