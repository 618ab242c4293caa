"""Make the program that serves one kind of upstream."""

from collections.abc import Callable
from pathlib import Path

from starlette.routing import Route

from .calls import RunLog
from .control import UPSTREAM, UpstreamControl, read_control
from .upstream import Upstream
from .upstream_http import serve_upstream

Make = Callable[[str, UpstreamControl, RunLog], Upstream]
MoreRoutes = Callable[[Upstream], list[Route]]


def no_routes(upstream: Upstream) -> list[Route]:
    """Return no routes beside those that all upstreams have."""
    return []


def make_program(
    kind: str, make: Make, slowdown: float = 0.0, more: MoreRoutes = no_routes
) -> Callable[[int, str, str, str], None]:
    """Return the program of one kind of upstream, for a command line.

    Parameters
    ----------
    kind : str
        The name of an upstream that is given none.
    make : callable
        Makes the upstream from its name, control values and log of runs.
    slowdown : float
        How much each further call slows the others, where nothing else is told.
    more : callable
        Returns the routes that this kind has beside the common ones.
    """

    def main(
        port: int = 0, control: str = "{}", name: str = kind, runs: str = ""
    ) -> None:
        """Serve an upstream until SIGTERM.

        Parameters
        ----------
        port : int
            TCP port; 0 takes a free one, which the line `ready PORT` tells.
        control : str
            Control values at the start, as JSON.
        name : str
            Name of the upstream.
        runs : str
            File that keeps the runs over restarts; empty for none.
        """
        values = read_control(UPSTREAM, control, slowdown=slowdown)
        log = RunLog(Path(runs) if runs else None)
        upstream = make(name, values, log)
        serve_upstream(upstream, port, more(upstream))

    return main
