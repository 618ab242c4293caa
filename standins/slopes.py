"""Fit straight lines to measured points and show them."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np


@dataclass(frozen=True)
class Point:
    """Hold one measured point."""

    x: float
    y: float


@dataclass(frozen=True)
class Slope:
    """Hold a straight line through measured points.

    Parameters
    ----------
    what, x_unit, y_unit : str
        What was measured, against what.
    base, slope : float
        The line: `y = base + slope * x`.
    residual : float
        The largest distance of a point from the line, in the unit of y.
    """

    what: str
    x_unit: str
    y_unit: str
    points: tuple[Point, ...]
    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return what the line gives at a size that may not have been measured."""
        return self.base + self.slope * x


def fit(what: str, x_unit: str, y_unit: str, points: Sequence[Point]) -> Slope:
    """Return the line of least squares through the points."""
    xs = np.array([point.x for point in points])
    ys = np.array([point.y for point in points])
    slope, base = np.polyfit(xs, ys, 1)
    residual = float(np.max(np.abs(ys - (base + slope * xs))))
    return Slope(
        what, x_unit, y_unit, tuple(points), float(base), float(slope), residual
    )


def as_row(line: Slope) -> str:
    """Return one row of a Markdown table."""
    points = ", ".join(f"{point.x:g}: {point.y:.4g}" for point in line.points)
    return (
        f"| {line.what} | {line.y_unit} by {line.x_unit} | {points} |"
        f" {line.base:.4g} | {line.slope:.4g} | {line.residual:.2g} |"
    )


def as_table(lines: Sequence[Slope]) -> str:
    """Return all lines as a Markdown table."""
    head = "| what | y by x | points | base | slope | residual |\n" + "| --- " * 6 + "|"
    return "\n".join((head, *(as_row(line) for line in lines)))


def as_json(lines: Sequence[Slope]) -> list[dict[str, Any]]:
    """Return all lines for a script to read."""
    return [asdict(line) for line in lines]
