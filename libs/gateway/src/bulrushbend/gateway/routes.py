"""Choice of the route and the service of a request."""

import random
from collections import defaultdict
from collections.abc import Iterable

from bulrushbend.core.manifest import Route


class RouteTable:
    """Routes of a manifest by host and path prefix.

    Parameters
    ----------
    routes : iterable of Route
        Routes; no two have the same host and prefix.
    """

    def __init__(self, routes: Iterable[Route]):
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._by_host[route.host.lower()][route.path_prefix] = route

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any.

        Parameters
        ----------
        host : str
            Value of the Host header; a port is ignored.
        target : str
            Request target; a query is ignored.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, source: random.Random) -> str:
    """Choose one of the services of a route at random by weight."""
    if len(route.split) == 1:
        return route.split[0].service
    names = [part.service for part in route.split]
    weights = [part.weight for part in route.split]
    return source.choices(names, weights)[0]
