"""Run a simulated program as a process and send requests to it."""

import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import cbor2
import httpcore


@dataclass
class Program:
    """Running program with its own HTTP client."""

    process: subprocess.Popen
    port: int
    http: httpcore.ConnectionPool

    def request(
        self, method: str, path: str, content: bytes = b""
    ) -> httpcore.Response:
        """Send one request."""
        url = f"http://127.0.0.1:{self.port}{path}"
        return self.http.request(
            method, url, content=content, extensions={"timeout": {"read": 5.0}}
        )

    def json(self, method: str, path: str, body: object = None) -> dict:
        """Send a JSON request and return the JSON response."""
        content = b"" if body is None else json.dumps(body).encode()
        return json.loads(self.request(method, path, content).content)

    def cbor(self, method: str, path: str, content: bytes = b"") -> dict:
        """Send bytes and return the CBOR response."""
        return cbor2.loads(self.request(method, path, content).content)

    def run(self, attempt: str, stream: bool = False, **fields: object) -> dict:
        """Run one call and return the last JSON object of the response."""
        response = self.request("POST", "/run", call(attempt, stream, **fields))
        text = response.content.decode()
        return events_of(text)[-1] if stream else json.loads(text)


def call(attempt: str, stream: bool = False, **fields: object) -> bytes:
    """Return the body of a call."""
    body = {"attempt": attempt, "stage": "s", "version": "v", "input": {}}
    return json.dumps({**body, "stream": stream, **fields}).encode()


def events_of(text: str) -> list[dict]:
    """Return the JSON object of each server-sent event."""
    return [
        json.loads(line.removeprefix("data: "))
        for line in text.splitlines()
        if line.startswith("data: ")
    ]


@contextmanager
def started(module: str, **control: object) -> Iterator[Program]:
    """Run `python -m standins.MODULE` until the block ends."""
    with running(module, "--control", json.dumps(control)) as program:
        yield program


@contextmanager
def started_link() -> Iterator[Program]:
    """Run a relay without any path until the block ends."""
    with running("link") as program:
        yield program


@contextmanager
def running(module: str, *flags: str) -> Iterator[Program]:
    """Run a program with some flags until the block ends."""
    command = [sys.executable, "-m", f"standins.{module}", "--port", "0", *flags]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        word, port = process.stdout.readline().split()
        assert word == "ready"
        with httpcore.ConnectionPool(max_connections=64) as http:
            yield Program(process, int(port), http)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
