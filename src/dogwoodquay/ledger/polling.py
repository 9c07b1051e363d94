"""Polls the contents of engines and keeps the ledger up to date."""

from __future__ import annotations

import dataclasses
import typing

from ..external import api as external_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import core

__all__ = ['Poller']

ANSWER_TIMEOUT_SECONDS: typing.Final = 2.0
UNREACHABLE_AFTER_SECONDS: typing.Final = 5.0
PRESUMED_DOWN_AFTER_SECONDS: typing.Final = 30.0


@dataclasses.dataclass(eq=False)
class Poller:
    """Polls one engine, with one request in flight at a time."""

    ledger: core.PoolLedger
    server_id: str
    engine: external_api.Engine
    clock: clocks.Clock
    _failing_since: float | None = None

    async def poll(self) -> bool:
        """Request the contents once.

        The request carries the fencing token until the engine has it.

        :return: whether the engine answered.
        """
        server = self.ledger.servers[self.server_id]
        address, port = server.server.address, server.server.port
        deadline = self.clock.now() + ANSWER_TIMEOUT_SECONDS
        version = server.begin_observation()
        if server.needs_fencing_token:
            result = await self.engine.raise_fence(
                address, port, self.ledger.epoch, deadline
            )
        else:
            result = await self.engine.state(address, port, deadline)
        if result.is_ok():
            self._failing_since = None
            self.ledger.observe(self.server_id, result.ok, version)
            return True
        if isinstance(result.error, external_api.StaleFence):
            self.ledger.on_stale_fence()
        self._on_failure()
        return False

    def _on_failure(self) -> None:
        now = self.clock.now()
        if self._failing_since is None:
            self._failing_since = now
        server = self.ledger.servers[self.server_id]
        silent_seconds = now - self._failing_since
        server.reachable = silent_seconds < UNREACHABLE_AFTER_SECONDS
        server.presumed_down = silent_seconds >= PRESUMED_DOWN_AFTER_SECONDS
