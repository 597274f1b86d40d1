"""Report of a load run."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from bulrushbend.standins.load.call import ANSWERED, WRONG_ANSWER, CallRecord


@dataclass(frozen=True)
class Quantiles:
    """Median and 99th percentile in milliseconds; None without samples."""

    p50_ms: float | None
    p99_ms: float | None
    samples: int


@dataclass(frozen=True)
class TeamReport:
    """Outcomes and times of one team's requests.

    `cost_ms` is the sum of the costs asked for by the answered requests.
    """

    team: str
    sent: int
    outcomes: dict[str, int]
    cost_ms: float
    first_byte: Quantiles
    between_chunks: Quantiles
    total: Quantiles


@dataclass(frozen=True)
class LoadReport:
    """Outcomes and times of all requests.

    Attributes
    ----------
    wrong : tuple of str
        Descriptions of answers that belonged to another request or were incomplete
        although the connection ended without an error.
    skipped : int
        Arrivals of open mode that were not sent because too many were in progress.
    """

    duration_ms: float
    skipped: int
    teams: tuple[TeamReport, ...]
    wrong: tuple[str, ...]

    @property
    def answered(self) -> int:
        """Number of requests that got their own complete answer."""
        return sum(team.outcomes.get(ANSWERED, 0) for team in self.teams)

    @property
    def sent(self) -> int:
        """Number of requests sent."""
        return sum(team.sent for team in self.teams)

    def document(self) -> dict[str, Any]:
        """Return the report as values that can be encoded as JSON."""
        return asdict(self) | {"sent": self.sent, "answered": self.answered}


def quantiles(samples: Iterable[float]) -> Quantiles:
    """Return median and 99th percentile by the nearest-rank method."""
    ordered = sorted(samples)
    return Quantiles(
        _percentile(ordered, 0.50), _percentile(ordered, 0.99), len(ordered)
    )


def build_report(
    teams: Sequence[str],
    records: Sequence[CallRecord],
    duration_ms: float,
    skipped: int,
) -> LoadReport:
    """Summarise `records` by team."""
    wrong = [f"{r.team}: {r.detail}" for r in records if r.outcome == WRONG_ANSWER]
    return LoadReport(
        duration_ms=duration_ms,
        skipped=skipped,
        teams=tuple(_team_report(team, records) for team in teams),
        wrong=tuple(wrong),
    )


def format_report(report: LoadReport) -> str:
    """Return the report as text."""
    lines = [
        f"{report.answered} of {report.sent} requests answered in "
        f"{report.duration_ms / 1000.0:.1f} s, {len(report.wrong)} wrong answers, "
        f"{report.skipped} skipped"
    ]
    for team in report.teams:
        outcomes = ", ".join(f"{n} {name}" for name, n in sorted(team.outcomes.items()))
        lines.append(
            f"team {team.team}: {outcomes or 'nothing sent'}; p50/p99 ms: first byte "
            f"{_format_quantiles(team.first_byte)}, between chunks "
            f"{_format_quantiles(team.between_chunks)}, "
            f"total {_format_quantiles(team.total)}"
        )
    lines += [f"wrong answer: {text}" for text in report.wrong]
    return "\n".join(lines)


def _team_report(team: str, records: Sequence[CallRecord]) -> TeamReport:
    team_records = [record for record in records if record.team == team]
    answered = [record for record in team_records if record.outcome == ANSWERED]
    first_byte_samples = (
        r.first_byte_ms for r in answered if r.first_byte_ms is not None
    )
    return TeamReport(
        team=team,
        sent=len(team_records),
        outcomes=dict(Counter(record.outcome for record in team_records)),
        cost_ms=sum(record.cost_ms for record in answered),
        first_byte=quantiles(first_byte_samples),
        between_chunks=quantiles(gap for r in answered for gap in r.gaps_ms),
        total=quantiles(record.total_ms for record in answered),
    )


def _percentile(ordered: Sequence[float], fraction: float) -> float | None:
    if not ordered:
        return None
    return round(ordered[max(0, math.ceil(fraction * len(ordered)) - 1)], 3)


def _format_quantiles(value: Quantiles) -> str:
    if value.p50_ms is None or value.p99_ms is None:
        return "-"
    return f"{value.p50_ms:.0f}/{value.p99_ms:.0f}"
