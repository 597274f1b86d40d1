"""Straight line through the costs of a sweep."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True)
class LinearFit:
    """Straight line through the costs of a sweep: ``base + per_unit * size``."""

    base_ms: float
    per_unit_ms: float


def fit_line(sizes: Sequence[float], costs_ms: Sequence[float]) -> LinearFit:
    """Return the least-squares line through the costs of a sweep."""
    slope, base = numpy.polyfit(sizes, costs_ms, 1)
    return LinearFit(float(base), float(slope))
