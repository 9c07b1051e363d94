"""Decides whether an instance is ready to serve callers."""

from __future__ import annotations

import math
import typing

from . import origin_log

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..fleet import registry as registries

__all__ = ['Readiness']

# The longest time for which an instance that has started waits to learn of the
# others, which keep records of its streams.
PEERS_WAIT_SECONDS: typing.Final = 2.0
# The same for the records of crashes, once it is known what is served.
CRASHES_WAIT_SECONDS: typing.Final = 1.0


class Readiness:
    """Tells why an instance is not ready.

    :param configured: returns whether there is an active configuration.
    :param crashes_known: returns whether it is known what crashes servers.
    :param roster_known: returns whether the other instances are known.
    :param stopping: returns whether a planned stop has begun.
    """

    def __init__(
        self,
        registry: registries.Registry,
        clock: clocks.Clock,
        configured: abc.Callable[[], bool],
        crashes_known: abc.Callable[[], bool],
        roster_known: abc.Callable[[], bool],
        stopping: abc.Callable[[], bool],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._configured = configured
        self._crashes_known = crashes_known
        self._crashes_due = math.inf
        self._roster_known = roster_known
        self._stopping = stopping
        self._peers_due = clock.now() + PEERS_WAIT_SECONDS

    @property
    def _needs_roster(self) -> bool:
        """Whether records of streams may be needed that only peers keep.

        Not while each service has a single software version. The log has the
        records of streams that begin meanwhile, and an instance that finds
        none still refuses a stream whose version the list does not prove.
        """
        now = self._clock.now()
        if self._roster_known() or now >= self._peers_due:
            return False
        if self._registry.read_at == -math.inf:
            return True
        return self._registry.has_several_versions(
            now - origin_log.KEEP_SECONDS
        )

    @property
    def _needs_crashes(self) -> bool:
        """Whether to wait for the records of crashes, which others may lack.

        The store that has the configuration has them as well.
        """
        now = self._clock.now()
        if self._crashes_due == math.inf:
            self._crashes_due = now + CRASHES_WAIT_SECONDS
        return not self._crashes_known() and now < self._crashes_due

    def reason(self) -> str:
        """Return why the instance is not ready, empty if it is."""
        if self._stopping():
            return 'stopping'
        if not self._configured():
            return 'no_configuration'
        if not self._registry.servers:
            return 'no_servers'
        if self._needs_crashes:
            return 'no_crash_records'
        if self._needs_roster:
            return 'no_peers'
        return ''
