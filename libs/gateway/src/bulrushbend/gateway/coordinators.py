"""Selection of the gateway that coordinates a service.

Gateways that place independently, each by the load reports of the others, see the same
free capacity at the same time and all use it: an endpoint then processes several
prompts at once and its streams pause. One gateway of the fleet, the coordinator of the
service, therefore places the requests of all, with one queue for all teams
(`placement_server`). The others send it datagrams (`placement_client`). A gateway that
gets no reply places by its own load view, so no request depends on the coordinator.

A coordinator does this work for the whole fleet besides serving its own callers. On a
small VM it would run out of processor time, and the requests of all teams would wait
for it.
"""

from collections.abc import Iterable, Mapping

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.rendezvous import rendezvous_rank

# Time for which an unresponsive coordinator is skipped; a single request probes it
# afterwards.
PROBE_DELAY_MS = 1_000.0
# Gateways with less than this fraction of the cores of the largest gateway are ranked
# last: in the users' fleets, small VMs have under a third of the cores of large ones.
_MIN_CORES_SHARE = 0.5
# Gateways that are ranked first for a service and get the full load reports: the
# coordinator and those that take over from it.
_REPORTED_RANKS = 3


class Coordinators:
    """Selects the coordinator of each service.

    All gateways rank the gateways of the fleet the same way: those with many cores
    first, and equal ones by rendezvous hashing, so few services change their
    coordinator when gateways come and go.

    Parameters
    ----------
    name : str
        Name of this gateway.
    clock : Clock
        Source of time.
    events : EventLog
        Records lost and regained coordinators.
    cores : float, default=0.0
        Cores of this gateway, 0 if not known.
    """

    def __init__(self, name: str, clock: Clock, events: EventLog, cores: float = 0.0):
        self._name = name
        self._cores = cores
        self._cores_by_gateway: dict[str, float] = {name: cores}
        self._clock = clock
        self._events = events
        self._addresses: dict[str, str] = {}
        self._probe_times_ms: dict[str, float] = {}
        self._in_use: dict[str, str] = {}
        self._rankings: dict[str, list[str]] = {}
        self._services: frozenset[str] = frozenset()

    @property
    def has_suspects(self) -> bool:
        """Whether a coordinator is skipped, so that this gateway may place locally."""
        return bool(self._probe_times_ms)

    def set_peers(
        self,
        addresses: Mapping[str, str],
        cores_by_gateway: Mapping[str, float] | None = None,
    ) -> None:
        """Replace the addresses and cores of the other gateways."""
        self._addresses = dict(addresses)
        self._cores_by_gateway = {**(cores_by_gateway or {}), self._name: self._cores}
        self._probe_times_ms = {
            n: at for n, at in self._probe_times_ms.items() if n in addresses
        }
        self._in_use.clear()
        self._rankings.clear()

    def set_services(self, services: Iterable[str]) -> None:
        """Set the services whose requests are placed by coordinators."""
        self._services = frozenset(services)

    def address_of(self, name: str) -> str | None:
        """Return the address of another gateway, None if it is gone."""
        return self._addresses.get(name)

    def addresses(self) -> set[str]:
        """Return the addresses of all other gateways."""
        return set(self._addresses.values())

    def choose(self, service: str) -> str | None:
        """Return the coordinator of a service, None if it is this gateway."""
        now_ms = self._clock.now_ms()
        for name in self._ranked(service):
            if name == self._name:
                break
            probe_at_ms = self._probe_times_ms.get(name)
            if probe_at_ms is None:
                self._in_use[service] = name
                return name
            if now_ms >= probe_at_ms:
                self._probe_times_ms[name] = now_ms + PROBE_DELAY_MS
                return name
        self._in_use.pop(service, None)
        return None

    def is_first(self, service: str) -> bool:
        """Return whether this gateway is the first in rank for a service."""
        return self._ranked(service)[0] == self._name

    def turn(self, subject: str) -> int:
        """Return how many gateways come before this one for a subject.

        For a work that any gateway can do, but no two at the same time.
        """
        own_rank = rendezvous_rank(subject, self._name)
        return sum(
            rendezvous_rank(subject, name) > own_rank for name in self._addresses
        )

    def addresses_in_use(self) -> set[str]:
        """Return the addresses of the coordinators chosen most recently."""
        found = {self._addresses.get(name) for name in self._in_use.values()}
        return {address for address in found if address}

    def report_addresses(self) -> set[str]:
        """Return the addresses of the gateways that need full load reports.

        For each service these are the coordinator and the gateways that are next in
        rank, so their number does not grow with the fleet.
        """
        services = self._services | self._rankings.keys()
        names = {
            name
            for service in services
            for name in self._ranked(service)[:_REPORTED_RANKS]
        }
        return {self._addresses[name] for name in names if name in self._addresses}

    def suspect(self, name: str, reason: str) -> None:
        """Skip a coordinator that does not reply until `PROBE_DELAY_MS` have passed."""
        if name not in self._probe_times_ms:
            self._events.write(EventKind.COORDINATOR_LOST, peer=name, reason=reason)
        self._probe_times_ms[name] = self._clock.now_ms() + PROBE_DELAY_MS

    def trust(self, name: str) -> None:
        """Stop skipping a coordinator, since it replied."""
        if self._probe_times_ms.pop(name, None) is not None:
            self._events.write(EventKind.COORDINATOR_REGAINED, peer=name)

    def _ranked(self, service: str) -> list[str]:
        ranked = self._rankings.get(service)
        if ranked is None:
            min_cores = _MIN_CORES_SHARE * max(self._cores_by_gateway.values())

            def rank(name: str) -> tuple[bool, bytes]:
                is_large = self._cores_by_gateway.get(name, 0.0) >= min_cores
                return is_large, rendezvous_rank(service, name)

            names = [self._name, *self._addresses]
            ranked = sorted(names, key=rank, reverse=True)
            self._rankings[service] = ranked
        return ranked
