"""Limit of concurrent slots, adjusted to the load that an engine reports."""

from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

_RUNNING = "vllm:num_requests_running"
_WAITING = "vllm:num_requests_waiting"
_CACHE_USAGE = ("vllm:kv_cache_usage_perc", "vllm:gpu_cache_usage_perc")
# An engine with a full KV cache preempts running requests, so the limit stops growing
# before that.
_MAX_CACHE_USAGE = 0.95


@dataclass(frozen=True)
class EngineLoad:
    """Load reported by an engine; the report may be delayed.

    Attributes
    ----------
    running, waiting : float
        Number of requests that the engine runs and that it has queued.
    cache_usage : float
        Used fraction of the KV cache, from 0 to 1.
    """

    running: float
    waiting: float
    cache_usage: float = 0.0


def parse_load(text: str) -> EngineLoad | None:
    """Parse a load report in the Prometheus text format.

    Parameters
    ----------
    text : str
        Body of the metrics page, with the metric names of vLLM.

    Returns
    -------
    load : EngineLoad or None
        None if the text cannot be parsed or lacks the number of waiting requests.
    """
    values: dict[str, float] = {}
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                values[sample.name] = values.get(sample.name, 0.0) + sample.value
    except ValueError:
        return None
    if _WAITING not in values:
        return None
    cache_usage = max(
        (values[name] for name in _CACHE_USAGE if name in values), default=0.0
    )
    return EngineLoad(values.get(_RUNNING, 0.0), values[_WAITING], cache_usage)


class SlotLimit:
    """Slot limit with additive increase and multiplicative decrease (AIMD).

    No queue may form inside the engine, because the engine serves in order of arrival
    and would override the choice of teams. A report with queued requests lowers the
    limit to `decrease` times the number of requests that the engine can run. Reports
    are delayed, so no adjustment is made until a report can show the effect of the
    last decrease. Without a queue, each report raises the limit by `increase`, up to
    `upper_bound`.

    Parameters
    ----------
    upper_bound : int
        Slots of the endpoint in the manifest.
    lag_ms : float, default=1000.0
        Largest delay of a report.
    decrease : float, default=0.8
        Factor of a decrease.
    increase : float, default=1.0
        Slots added for each report without a queue.
    """

    def __init__(
        self,
        upper_bound: int,
        lag_ms: float = 1000.0,
        decrease: float = 0.8,
        increase: float = 1.0,
    ):
        self._upper_bound = upper_bound
        self._lag_ms = lag_ms
        self._decrease = decrease
        self._increase = increase
        self._limit = float(upper_bound)
        self._adjust_after_ms = float("-inf")

    @property
    def limit(self) -> int:
        """Slots that may be in use, from 1 to `upper_bound`."""
        return max(1, int(self._limit))

    @property
    def upper_bound(self) -> int:
        """Upper bound from the manifest."""
        return self._upper_bound

    def set_upper_bound(self, upper_bound: int) -> None:
        """Set the upper bound when the manifest changes."""
        was_at_upper_bound = self._limit >= self._upper_bound
        self._upper_bound = upper_bound
        self._limit = (
            float(upper_bound)
            if was_at_upper_bound
            else min(self._limit, float(upper_bound))
        )

    def update(self, load: EngineLoad | None, in_use: int, now_ms: float) -> int:
        """Adjust the limit to a load report and return it.

        Parameters
        ----------
        load : EngineLoad or None
            The report, None if it is missing. A missing report changes nothing: an
            engine that serves requests but not its metrics page keeps its limit.
        in_use : int
            Slots in use now, at this agent.
        now_ms : float
            Monotonic time in milliseconds.
        """
        if load is None or now_ms < self._adjust_after_ms:
            return self.limit
        if load.waiting > 0:
            self._decrease_limit(load, in_use)
            self._adjust_after_ms = now_ms + self._lag_ms
        elif load.cache_usage < _MAX_CACHE_USAGE and in_use >= self.limit - 1:
            # Only a limit that is used shows that the engine has capacity for more.
            self._limit = min(float(self._upper_bound), self._limit + self._increase)
        return self.limit

    def _decrease_limit(self, load: EngineLoad, in_use: int) -> None:
        capacity = min(self._limit, float(in_use)) or self._limit
        if load.running > 0:
            capacity = min(capacity, load.running)
        self._limit = max(1.0, capacity * self._decrease)
