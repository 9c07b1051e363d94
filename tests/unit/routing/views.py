"""Sample views, requests and reports for the tests of routing."""

from __future__ import annotations

from dogwoodquay.external import api as external_api
from dogwoodquay.pools import api as pools_api
from dogwoodquay.routing import api

ARTIFACT = 'm@1'


def server(
    number: int,
    ready: bool = True,
    leaving: bool = False,
    withdrawing: bool = False,
    address: str = '127.0.0.1',
) -> pools_api.ServerView:
    """Return a server with one artifact, in one of three failure domains."""
    return pools_api.ServerView(
        f's{number}',
        address,
        1,
        f'd{number % 3}',
        leaving,
        (pools_api.ArtifactView(ARTIFACT, ready, withdrawing),),
    )


def view(
    servers: list[pools_api.ServerView], version: int = 1
) -> pools_api.PoolView:
    """Return a pool's view with the given servers."""
    return pools_api.PoolView('pool', 'i0', 1, version, tuple(servers))


def request(
    attempt: int | str,
    prompt: int = 400,
    hashes: tuple[int, ...] = (),
    avoid_servers: frozenset[str] = frozenset(),
    avoid_domains: frozenset[str] = frozenset(),
    priority: int = 3,
) -> api.RouteRequest:
    """Return a request for the artifact."""
    return api.RouteRequest(
        str(attempt),
        ARTIFACT,
        prompt,
        priority,
        1e9,
        hashes,
        avoid_servers,
        avoid_domains,
    )


def report(
    time: float, queued: int, running: int = 0
) -> external_api.LoadReport:
    """Return a load report."""
    return external_api.LoadReport(time, running, queued, 0.0, 0.0)


def stored(
    incarnation: str, start: int, hashes: tuple[int, ...]
) -> external_api.CacheEvents:
    """Return events that report stored blocks."""
    return external_api.CacheEvents(
        incarnation,
        start + len(hashes),
        tuple(
            external_api.CacheEvent(start + n, block, True)
            for n, block in enumerate(hashes)
        ),
    )
