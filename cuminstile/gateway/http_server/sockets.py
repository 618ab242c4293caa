"""What the kernel holds for the process: unread bytes and waiting connections."""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
import termios


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes of a connection the process has not read."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, struct.pack("i", 0))
    return int(struct.unpack("i", size)[0])


def limit_unread(transport: asyncio.Transport, size: int) -> None:
    """Set how many bytes of a connection the kernel keeps, about."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def accept_waiting(listening: socket.socket, most: int) -> list[socket.socket]:
    """Return the connections that wait to be accepted, `most` at most."""
    accepted = []
    with socket.socket(fileno=os.dup(listening.fileno())) as own:
        own.setblocking(False)
        for _ in range(most):
            try:
                accepted.append(own.accept()[0])
            except ConnectionAbortedError:
                continue
            except OSError:
                break
    return accepted
