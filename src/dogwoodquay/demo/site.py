"""The stand-ins of the demonstration, with both users' deployments."""

from __future__ import annotations

import typing

from ..standin import examples
from ..standin import site as sites

__all__ = ['OPTIONS', 'describe', 'make']

GIB: typing.Final = 2**30
# The platform allows about 1.6 loads a second and 6 at once; the first
# placement of the example records would then take 90 seconds.
LOADS_PER_SECOND: typing.Final = 10_000.0
PARALLEL_LOADS: typing.Final = 24
LOAD_BYTES_PER_SECOND: typing.Final = 32.0 * GIB
# Four of the five engines can hold all artifacts.
CAPACITY_BYTES: typing.Final = 120 * GIB

OPTIONS: typing.Final = sites.SiteOptions(
    services=(examples.HEELBRIGHT.service, examples.GULF.service),
    capacity_bytes=CAPACITY_BYTES,
    loads_per_second=LOADS_PER_SECOND,
    parallel_loads=PARALLEL_LOADS,
    load_bytes_per_second=LOAD_BYTES_PER_SECOND,
)


def make() -> sites.StandInSite:
    """Return the site, which is not running yet."""
    return sites.StandInSite(OPTIONS)


def describe(site: sites.StandInSite) -> str:
    """Return a one-line description of the stand-ins."""
    return (
        f'stand-ins: log, instance list, weight store, '
        f'{len(site.engines)} engines of {CAPACITY_BYTES // GIB} GiB, '
        f'{len(site.services)} servers of {len(OPTIONS.services)} services; '
        f'the weight store allows {PARALLEL_LOADS} parallel loads and does '
        'not limit their rate'
    )
