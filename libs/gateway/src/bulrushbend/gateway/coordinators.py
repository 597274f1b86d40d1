"""Which gateway coordinates a service.

Load that this answers: gateways that each choose by reports of the others see the same
room at the same time and take it together, so that an endpoint reads several prompts at
once and its streams pause. One gateway of the fleet, the coordinator of the service,
therefore places for all, with one queue for all teams (`placement_server`). The others
ask it by datagram (`placement_client`); whoever gets no reply places by its own view,
so no request depends on the coordinator.

A coordinator works for the whole fleet beside its own callers. One on a small VM runs
out of processor time first, and all teams wait for it.
"""

from collections.abc import Mapping

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.rendezvous import rendezvous_rank

# Time for which a silent coordinator is left out; one request tries it afterwards.
SUSPECT_MS = 1_000.0
# Gateways with less than this part of the largest processor of the fleet come last: on
# the users' fleets the small VMs have under a third of the large ones.
_LEAST_PROCESSOR = 0.5


class Coordinators:
    """Which gateway coordinates a service.

    All gateways rank the members of the fleet the same way: first those with a large
    processor, and among them by rendezvous hashing, so few services change their
    coordinator when gateways come and go.

    Parameters
    ----------
    name : str
        Name of this gateway.
    clock : Clock
        Source of time.
    events : EventLog
        Receives lost and regained coordinators.
    processor : float, default=0.0
        Cores of this gateway, 0 if not known.
    """

    def __init__(
        self, name: str, clock: Clock, events: EventLog, processor: float = 0.0
    ):
        self._name = name
        self._processor = processor
        self._processors: dict[str, float] = {name: processor}
        self._clock = clock
        self._events = events
        self._addresses: dict[str, str] = {}
        self._suspects: dict[str, float] = {}
        self._in_use: dict[str, str] = {}
        self._rankings: dict[str, list[str]] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether a coordinator is left out, so that this gateway may place alone."""
        return bool(self._suspects)

    def set_peers(
        self,
        addresses: Mapping[str, str],
        processors: Mapping[str, float] | None = None,
    ) -> None:
        """Take the other gateways: their addresses and cores."""
        self._addresses = dict(addresses)
        self._processors = {**(processors or {}), self._name: self._processor}
        self._suspects = {n: at for n, at in self._suspects.items() if n in addresses}
        self._in_use.clear()
        self._rankings.clear()

    def address_of(self, name: str) -> str | None:
        """Return the address of another gateway, None if it is gone."""
        return self._addresses.get(name)

    def choose(self, service: str) -> str | None:
        """Return the coordinator of a service, None if it is this gateway."""
        now_ms = self._clock.now_ms()
        for name in self._ranked(service):
            if name == self._name:
                break
            retry_ms = self._suspects.get(name)
            if retry_ms is None:
                self._in_use[service] = name
                return name
            if now_ms >= retry_ms:
                self._suspects[name] = now_ms + SUSPECT_MS
                return name
        self._in_use.pop(service, None)
        return None

    def addresses_in_use(self) -> set[str]:
        """Return the addresses of the coordinators that were chosen last."""
        found = {self._addresses.get(name) for name in self._in_use.values()}
        return {address for address in found if address}

    def suspect(self, name: str, reason: str) -> None:
        """Leave out a coordinator that does not answer."""
        if name not in self._suspects:
            self._events.write(EventKind.COORDINATOR_LOST, peer=name, reason=reason)
        self._suspects[name] = self._clock.now_ms() + SUSPECT_MS

    def trust(self, name: str) -> None:
        """Use a coordinator that answered."""
        if self._suspects.pop(name, None) is not None:
            self._events.write(EventKind.COORDINATOR_REGAINED, peer=name)

    def _ranked(self, service: str) -> list[str]:
        ranked = self._rankings.get(service)
        if ranked is None:
            least = _LEAST_PROCESSOR * max(self._processors.values())

            def rank(name: str) -> tuple[bool, bytes]:
                is_large = self._processors.get(name, 0.0) >= least
                return is_large, rendezvous_rank(service, name)

            names = [self._name, *self._addresses]
            ranked = sorted(names, key=rank, reverse=True)
            self._rankings[service] = ranked
        return ranked
