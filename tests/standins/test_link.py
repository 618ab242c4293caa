"""Check that the relay holds back bytes, closes connections and forwards bytes."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from .programs import Program, started_link

pytestmark = pytest.mark.process
PAUSE_S = 0.3


@contextmanager
def echo() -> Iterator[int]:
    """Run an echo server that serves one connection at a time."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                while data := connection.recv(1024):
                    connection.sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    try:
        yield listener.getsockname()[1]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def connect(link: Program, port: int) -> socket.socket:
    """Return a connection through a new relay on the path `a:b`."""
    body = {"path": "a:b", "to": f"127.0.0.1:{port}"}
    relay = link.json("POST", "/relays", body)["port"]
    connection = socket.create_connection(("127.0.0.1", relay))
    connection.settimeout(PAUSE_S)
    return connection


def test_a_cut_path_holds_bytes_until_it_heals() -> None:
    with echo() as port, started_link() as link, connect(link, port) as connection:
        connection.sendall(b"one")
        assert connection.recv(10) == b"one"
        link.json("POST", "/paths", {"path": "a:b", "state": "hang"})
        connection.sendall(b"two")
        with pytest.raises(TimeoutError):
            connection.recv(10)
        link.json("POST", "/paths", {"path": "a:b", "state": "open"})
        assert connection.recv(10) == b"two"


def test_a_closed_path_closes_connections() -> None:
    with echo() as port, started_link() as link, connect(link, port) as connection:
        connection.sendall(b"one")
        assert connection.recv(10) == b"one"
        link.json("POST", "/paths", {"path": "a:b", "state": "close"})
        assert connection.recv(10) == b""


def test_an_unknown_path_is_named() -> None:
    with started_link() as link:
        answer = link.json("POST", "/paths", {"path": "a:c", "state": "hang"})
        assert "unknown path a:c" in answer["findings"][0]
