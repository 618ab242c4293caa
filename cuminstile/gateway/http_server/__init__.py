"""HTTP/1.1 server for callers: read requests within limits and write answers."""

from .connection import CallerConnection
from .request import Handler, HeadCheck, HeadVerdict, Request
from .server import Server, listen, stop_listening

__all__ = [
    "CallerConnection",
    "Handler",
    "HeadCheck",
    "HeadVerdict",
    "Request",
    "Server",
    "listen",
    "stop_listening",
]
