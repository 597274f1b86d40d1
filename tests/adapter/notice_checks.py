"""Checks that gateways respect what endpoints state about themselves."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from standin_platform import Arrival, Engine, Pause

# Bounds of the platform's rules.
DRAIN_S = 3.0
PAUSE_GRACE_S = 0.5
MAX_PAUSED_ARRIVALS = 2


@dataclass
class Span:
    """Time for which a gateway, or the link to an engine, was disturbed."""

    name: str
    start_s: float
    end_s: float = math.inf

    def overlaps(self, name: str, start_s: float, end_s: float) -> bool:
        """Return whether the disturbance of `name` touches this time."""
        return self.name == name and self.end_s >= start_s and self.start_s <= end_s


@dataclass(frozen=True)
class Origin:
    """Gateway and time at which a caller sent a request."""

    host: str
    sent_s: float


@dataclass(frozen=True)
class LeavingAnswer:
    """Answer of a leaving incarnation of an engine that a gateway passed on."""

    host: str
    instance: str
    at_s: float


def find_late_arrivals(
    engine: Engine,
    origins: dict[str, Origin],
    answers: Sequence[LeavingAnswer],
    restarts: Sequence[Span],
) -> list[str]:
    """Return the requests that a leaving engine got from a gateway that knew it.

    A restart or freeze of the gateway since then excuses it.
    """
    late = []
    for arrival in engine.arrivals:
        origin = origins.get(arrival.request_id)
        if origin is None:
            continue
        for answer in answers:
            if (
                (answer.host, answer.instance) == (origin.host, arrival.instance)
                and origin.sent_s > answer.at_s + DRAIN_S
                and not _is_excused(restarts, origin.host, answer.at_s, arrival.at_s)
            ):
                delay_s = arrival.at_s - answer.at_s
                late.append(
                    f"{arrival.request_id}: reached {arrival.instance} by {origin.host}"
                    f" {delay_s:.1f} s after it stated that it leaves"
                )
                break
    return late


def find_paused_arrivals(
    engine: Engine,
    origins: dict[str, Origin],
    restarts: Sequence[Span],
    cuts: Sequence[Span],
) -> list[str]:
    """Return the pauses of an engine in which a gateway sent it too many requests.

    A restart, freeze or cut of the gateway excuses it.
    """
    violations = []
    for pause in engine.pauses:
        origin = origins.get(pause.request_id)
        if origin is None:
            continue
        start_s = pause.at_s + PAUSE_GRACE_S
        end_s = pause.at_s + pause.duration_s
        if _is_excused(restarts, origin.host, pause.at_s, end_s) or _is_excused(
            cuts, engine.name, pause.at_s, end_s
        ):
            continue
        count = _count(engine.arrivals, origins, origin.host, pause, start_s, end_s)
        if count > MAX_PAUSED_ARRIVALS:
            violations.append(
                f"{count} requests of {origin.host} reached {pause.instance} within"
                f" {pause.duration_s:.1f} s after {pause.request_id} was turned away"
            )
    return violations


def _is_excused(spans: Iterable[Span], name: str, start_s: float, end_s: float) -> bool:
    return any(span.overlaps(name, start_s, end_s) for span in spans)


def _count(
    arrivals: Iterable[Arrival],
    origins: dict[str, Origin],
    host: str,
    pause: Pause,
    start_s: float,
    end_s: float,
) -> int:
    return sum(
        start_s < arrival.at_s < end_s
        and arrival.instance == pause.instance
        and arrival.request_id in origins
        and origins[arrival.request_id].host == host
        for arrival in arrivals
    )
