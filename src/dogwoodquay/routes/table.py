"""Finds the route and the service for a request."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random

    from . import api

__all__ = ['RouteTable', 'pick_service']


class RouteTable:
    """The routes of one configuration by host and path prefix.

    A lookup takes one step for each segment of the path, independent of the
    number of routes.
    """

    def __init__(self, configuration: api.Configuration) -> None:
        self._configuration = configuration
        self._routes_by_host: dict[str, dict[str, api.Route]] = {}
        for route in configuration.routes:
            prefixes = self._routes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    @property
    def configuration(self) -> api.Configuration:
        """The configuration that the table was made from."""
        return self._configuration

    def match(self, host: str, path: str) -> api.Route | None:
        """Return the route with the longest matching path prefix.

        :param path: the path as sent, without the query.
        """
        prefixes = self._routes_by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def pick_service(route: api.Route, rng: random.Random) -> str:
    """Return a random service of a route according to the weights."""
    if len(route.services) == 1:
        return route.services[0].service
    point = rng.random() * sum(item.weight for item in route.services)
    for item in route.services:
        point -= item.weight
        if point < 0:
            return item.service
    return route.services[-1].service
