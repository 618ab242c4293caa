"""Fit straight lines to measured points and format them."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np


@dataclass(frozen=True)
class Point:
    """One measured point."""

    x: float
    y: float


@dataclass(frozen=True)
class Slope:
    """A straight line fitted to measured points.

    Parameters
    ----------
    what, x_unit, y_unit : str
        What was measured, and the units of the two axes.
    base, slope : float
        The line is `y = base + slope * x`.
    residual : float
        Largest distance of a point from the line, in the unit of y.
    """

    what: str
    x_unit: str
    y_unit: str
    points: tuple[Point, ...]
    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`, whether or not it was measured there."""
        return self.base + self.slope * x


def fit(what: str, x_unit: str, y_unit: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through the points."""
    xs = np.array([point.x for point in points])
    ys = np.array([point.y for point in points])
    slope, base = np.polyfit(xs, ys, 1)
    residual = float(np.max(np.abs(ys - (base + slope * xs))))
    return Slope(
        what, x_unit, y_unit, tuple(points), float(base), float(slope), residual
    )


def format_row(line: Slope) -> str:
    """Return one row of a Markdown table."""
    points = ", ".join(f"{point.x:g}: {point.y:.4g}" for point in line.points)
    return (
        f"| {line.what} | {line.y_unit} by {line.x_unit} | {points} |"
        f" {line.base:.4g} | {line.slope:.4g} | {line.residual:.2g} |"
    )


def format_table(lines: Sequence[Slope]) -> str:
    """Return all lines as a Markdown table."""
    head = "| what | y by x | points | base | slope | residual |\n" + "| --- " * 6 + "|"
    return "\n".join((head, *(format_row(line) for line in lines)))


def to_json(lines: Sequence[Slope]) -> list[dict[str, Any]]:
    """Return all lines as objects that JSON can represent."""
    return [asdict(line) for line in lines]
