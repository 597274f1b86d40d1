"""Sweeps: a function measured at several sizes, with slopes, tables and a plot."""

import csv
import io
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib
import numpy

matplotlib.use("Agg")

from matplotlib import pyplot

Measure = Callable[[float], Mapping[str, float]]
DEFAULT_FOLDER = Path("build/bench")


@dataclass(frozen=True)
class Slope:
    """Least-squares line through all repeats of one column.

    Attributes
    ----------
    per_unit : float
        Increase of the column per unit of size.
    intercept : float
        Value of the line at size 0.
    standard_error : float
        Standard error of `per_unit` from the residuals; NaN for fewer than three
        values.
    """

    per_unit: float
    intercept: float
    standard_error: float

    def __str__(self) -> str:
        return f"{self.per_unit:.4g} ± {self.standard_error:.2g}"


@dataclass(frozen=True)
class Sweep:
    """Values measured at several sizes.

    Attributes
    ----------
    name, size_name : str
        Name of the sweep, also used for its files, and name of the size that varies.
    values : dict of float to list of dict
        Repeats by size; all repeats have the same columns.
    """

    name: str
    size_name: str
    values: dict[float, list[dict[str, float]]]

    @property
    def columns(self) -> list[str]:
        """Names of the measured columns."""
        return list(next(iter(self.values.values()))[0])

    def repeats(self, size: float, column: str) -> list[float]:
        """Return the repeats of one column at one size."""
        return [repeat[column] for repeat in self.values[size]]

    def slope(self, column: str) -> Slope:
        """Fit a line to all repeats of `column`."""
        pairs = [(s, v) for s in self.values for v in self.repeats(s, column)]
        sizes, values = numpy.array(pairs, dtype=float).T
        per_unit, intercept = numpy.polyfit(sizes, values, 1)
        residuals = values - (per_unit * sizes + intercept)
        degrees_of_freedom = len(pairs) - 2
        if degrees_of_freedom < 1:
            return Slope(float(per_unit), float(intercept), float("nan"))
        variance = (residuals**2).sum() / degrees_of_freedom
        error = (variance / ((sizes - sizes.mean()) ** 2).sum()) ** 0.5
        return Slope(float(per_unit), float(intercept), float(error))

    def markdown(self) -> str:
        """Return a table with mean and half range of the repeats, and the slopes."""
        columns = self.columns
        lines = [
            f"| {self.size_name} | " + " | ".join(columns) + " |",
            "| --- |" + " --- |" * len(columns),
        ]
        for size in self.values:
            cells = [_cell(self.repeats(size, column)) for column in columns]
            lines.append(f"| {size:g} | " + " | ".join(cells) + " |")
        slopes = " | ".join(str(self.slope(column)) for column in columns)
        lines.append(f"| slope per {self.size_name} | {slopes} |")
        return "\n".join(lines) + "\n"

    def csv(self) -> str:
        """Return all repeats as comma-separated values."""
        output = io.StringIO()
        writer = csv.writer(output, lineterminator="\n")
        writer.writerow([self.size_name, "repeat", *self.columns])
        for size, repeats in self.values.items():
            for number, repeat in enumerate(repeats, start=1):
                writer.writerow([size, number, *repeat.values()])
        return output.getvalue()

    def plot(self, path: Path) -> None:
        """Plot each column against the size, with its fitted line, to the file."""
        columns = self.columns
        figure, axes = pyplot.subplots(
            len(columns), 1, figsize=(6, 2.2 * len(columns)), squeeze=False
        )
        for axis, column in zip(axes[:, 0], columns, strict=True):
            slope = self.slope(column)
            for size in self.values:
                repeats = self.repeats(size, column)
                axis.plot([size] * len(repeats), repeats, "k.")
            ends = numpy.array([min(self.values), max(self.values)])
            axis.plot(ends, slope.per_unit * ends + slope.intercept, "k-", linewidth=1)
            axis.set_ylabel(column, fontsize=7)
        axes[-1, 0].set_xlabel(self.size_name)
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)

    def save(self, folder: Path = DEFAULT_FOLDER) -> str:
        """Write the table, the values and the plot to `folder` and return the table."""
        folder.mkdir(parents=True, exist_ok=True)
        table = self.markdown()
        (folder / f"{self.name}.md").write_text(table)
        (folder / f"{self.name}.csv").write_text(self.csv())
        self.plot(folder / f"{self.name}.png")
        return table


def run_sweep(
    name: str,
    size_name: str,
    sizes: Sequence[float],
    measure: Measure,
    repeats: int = 3,
) -> Sweep:
    """Run `measure` at each size.

    Parameters
    ----------
    name, size_name : str
        See `Sweep`.
    sizes : sequence of float
        Sizes; a meaningful slope needs at least four over a factor of ten.
    measure : callable
        Called with a size; returns the columns of one repeat.
    repeats : int, default=3
        Calls for each size.
    """
    values = {size: [dict(measure(size)) for _ in range(repeats)] for size in sizes}
    return Sweep(name, size_name, values)


def _cell(repeats: list[float]) -> str:
    mean = sum(repeats) / len(repeats)
    half_range = (max(repeats) - min(repeats)) / 2.0
    return f"{mean:.4g} ± {half_range:.2g}" if half_range else f"{mean:.4g}"
