"""Index of the endpoints of a service by load.

A placement examines a few candidates, whatever the number of endpoints: those with the
least load in each data centre and those that have cached the prompt.
"""

import bisect
import functools
import itertools
import math
from collections.abc import Callable, Mapping, Sequence

from bulrushbend.core.rendezvous import RendezvousNames
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.load_totals import Load

# Prompts whose preferred endpoint is kept, since finding it examines each endpoint.
_PREFERRED_CACHE_SIZE = 8_192

_NO_LOAD = Load()

LoadKey = Callable[[DiscoveredEndpoint, Load], float]


class KeyedNames:
    """Names ordered by a key that may change; smaller keys come first.

    The first names are read far more often than a key changes, so they are kept in a
    sorted list: a change costs a binary search and moves part of the list.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, str]] = []
        self._keys: dict[str, float] = {}

    def set(self, name: str, key: float) -> None:
        """Add a name or change its key."""
        if self._keys.get(name) == key:
            return
        self.remove(name)
        self._keys[name] = key
        bisect.insort(self._entries, (key, name))

    def remove(self, name: str) -> None:
        """Remove a name, if it is there."""
        key = self._keys.pop(name, None)
        if key is not None:
            del self._entries[bisect.bisect_left(self._entries, (key, name))]

    def smallest(self, count: int, skipped: frozenset[str] = frozenset()) -> list[str]:
        """Return up to `count` names with the smallest keys, except skipped ones."""
        if not skipped:
            return [name for _, name in self._entries[:count]]
        names = (name for _, name in self._entries if name not in skipped)
        return list(itertools.islice(names, count))

    def min_key(self) -> float:
        """Return the smallest key, infinity if there are no names."""
        return self._entries[0][0] if self._entries else math.inf


class EndpointIndex:
    """Endpoints of one service, ordered by load.

    Parameters
    ----------
    endpoints : sequence of DiscoveredEndpoint
        The endpoints; a changed list needs a new index.
    loads : mapping from str to Load
        Current load by endpoint id.
    load_key : callable
        Returns the cost of the load of an endpoint; the smaller, the better.
    """

    def __init__(
        self,
        endpoints: Sequence[DiscoveredEndpoint],
        loads: Mapping[str, Load],
        load_key: LoadKey,
    ):
        self.endpoints = endpoints
        self._by_id = {endpoint.id: endpoint for endpoint in endpoints}
        self._loads = loads
        self._load_key = load_key
        self._by_load: dict[str, KeyedNames] = {
            endpoint.data_centre: KeyedNames() for endpoint in endpoints
        }
        self._by_unread = KeyedNames()
        self._changed = dict.fromkeys(self._by_id)
        self._rendezvous = RendezvousNames(self._by_id)
        self.preferred = functools.lru_cache(_PREFERRED_CACHE_SIZE)(
            self._find_preferred
        )

    def get(self, endpoint_id: str) -> DiscoveredEndpoint | None:
        """Return an endpoint by its id, None if it is not in the index."""
        return self._by_id.get(endpoint_id)

    def mark_changed(self, endpoint_id: str) -> None:
        """Record that the load of an endpoint has changed."""
        if endpoint_id in self._by_id:
            self._changed[endpoint_id] = None

    def least_loaded(
        self, data_centre: str, near: int, remote: int, skipped: frozenset[str]
    ) -> list[DiscoveredEndpoint]:
        """Return the endpoints with free slots and the least load.

        Parameters
        ----------
        data_centre : str
            Data centre of the caller.
        near, remote : int
            Maximum number of endpoints in this and in each other data centre.
        skipped : frozenset of str
            Ids of endpoints to leave out.
        """
        self._update()
        return [
            self._by_id[name]
            for name_of_centre, by_load in self._by_load.items()
            for name in by_load.smallest(
                near if name_of_centre == data_centre else remote, skipped
            )
        ]

    def min_unread_tokens(self) -> float:
        """Return the fewest unread tokens of an endpoint with a free slot.

        Infinity if no endpoint has one.
        """
        self._update()
        return self._by_unread.min_key()

    def _update(self) -> None:
        """Apply the changed loads."""
        for name in self._changed:
            endpoint = self._by_id[name]
            load = self._loads.get(name, _NO_LOAD)
            by_load = self._by_load[endpoint.data_centre]
            if load.running >= endpoint.slots:
                by_load.remove(name)
                self._by_unread.remove(name)
            else:
                by_load.set(name, self._load_key(endpoint, load))
                self._by_unread.set(name, load.unread_tokens)
        self._changed.clear()

    def _find_preferred(self, digest: str) -> str:
        """Return the id of the endpoint that is preferred for a new prompt.

        Rendezvous hashing: gateways that receive a new prompt at the same time choose
        the same endpoint, and few prompts change it when endpoints come and go.
        """
        return self._rendezvous.choose(digest)
