"""Load report of the engine, which adjusts the number of slots in use."""

from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import part_logger

_log = part_logger("agent.load")

_POLL_TIMEOUT_S = 2.0
_RUNNING = "vllm:num_requests_running"
_WAITING = "vllm:num_requests_waiting"
_CACHE_USAGE = "vllm:kv_cache_usage_perc"


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine, which lags behind its real load.

    Attributes
    ----------
    running : float
        Requests in the batch.
    waiting : float
        Requests that the engine queues.
    cache_usage : float
        Part of the KV cache in use, from 0 to 1.
    """

    running: float
    waiting: float
    cache_usage: float


def parse_load(text: str) -> LoadReport:
    """Read a load report in the Prometheus text format with vLLM names.

    Values of several models on one engine are added, their cache usage is the largest.

    Raises
    ------
    ValueError
        If the text is malformed or lacks a metric.
    """
    values: dict[str, list[float]] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            values.setdefault(sample.name, []).append(sample.value)
    try:
        return LoadReport(
            running=sum(values[_RUNNING]),
            waiting=sum(values[_WAITING]),
            cache_usage=max(values[_CACHE_USAGE]),
        )
    except KeyError as error:
        raise ValueError(f"load report lacks {error.args[0]}") from None


class LoadPoll:
    """Polls the load report; a failed poll changes nothing.

    Parameters
    ----------
    url : str
        Address of the report.
    poll_ms : float
        Pause between two polls in milliseconds.
    clock : Clock
        Source of time.
    on_report : callable
        Called with each report.
    """

    def __init__(
        self,
        url: str,
        poll_ms: float,
        clock: Clock,
        on_report: Callable[[LoadReport], None],
    ):
        self._url = url
        self._poll_ms = poll_ms
        self._clock = clock
        self._on_report = on_report
        self._failing = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_ms(self._poll_ms)

    async def poll(self) -> None:
        """Read the report once."""
        try:
            response = await AsyncHTTPClient().fetch(
                self._url,
                connect_timeout=_POLL_TIMEOUT_S,
                request_timeout=_POLL_TIMEOUT_S,
            )
            report = parse_load(response.body.decode())
        except (HTTPClientError, OSError, ValueError) as error:
            if not self._failing:
                _log.warning("load report %s cannot be read: %s", self._url, error)
            self._failing = True
            return
        self._failing = False
        self._on_report(report)
