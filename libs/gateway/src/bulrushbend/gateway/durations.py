"""How long requests of a route take, as the last ones did."""

# Weight of the newest duration in the mean and in the mean deviation.
_GAIN = 0.1
# Deviations above the mean that cover nearly all requests.
_DEVIATIONS = 3.0


class Durations:
    """Upper estimate of the duration of a request, by route."""

    def __init__(self) -> None:
        self._means: dict[str, tuple[float, float]] = {}

    def note(self, route: str, taken_ms: float) -> None:
        """Take the duration of a request in milliseconds."""
        mean, deviation = self._means.get(route, (taken_ms, 0.0))
        difference = taken_ms - mean
        mean += _GAIN * difference
        deviation += _GAIN * (abs(difference) - deviation)
        self._means[route] = (mean, deviation)

    def most_ms(self, route: str) -> float:
        """Return a time within which nearly all requests end; 0 if none is known."""
        mean, deviation = self._means.get(route, (0.0, 0.0))
        return mean + _DEVIATIONS * deviation
