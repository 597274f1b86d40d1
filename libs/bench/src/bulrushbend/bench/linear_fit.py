"""Linear least-squares fit of the costs of a sweep."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True)
class LinearFit:
    """Fitted cost of a sweep: ``base_ms + per_unit_ms * size``."""

    base_ms: float
    per_unit_ms: float


def fit_line(sizes: Sequence[float], costs_ms: Sequence[float]) -> LinearFit:
    """Fit a least-squares line to the costs of a sweep."""
    slope, base = numpy.polyfit(sizes, costs_ms, 1)
    return LinearFit(float(base), float(slope))
