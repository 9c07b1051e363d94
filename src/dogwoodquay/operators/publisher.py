"""Publishes records and tells what the log decided on each."""

from __future__ import annotations

import dataclasses
import random
import typing
import uuid

import anyio
import anyio.abc
import msgspec

from ..external import api as external_api
from ..journal import follower as followers
from ..records import catalog
from ..records import state as records_state

if typing.TYPE_CHECKING:
    from .. import clock as clocks

__all__ = ['Published', 'Publisher', 'Undecided']

STREAM: typing.Final = 'config'
APPEND_SECONDS: typing.Final = 5.0
RETRY_SECONDS: typing.Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The log's decision on a record."""

    outcome: catalog.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The record was not read back in time; it may still land."""

    reason: str


class Publisher:
    """Appends records to the operators' stream and reads them back.

    An append whose answer was lost is settled by reading. It is not repeated:
    a second copy that lands after another operator's record would undo it.
    """

    def __init__(
        self,
        log: external_api.Log,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._clock = clock
        self._state = records_state.ConfigurationState()
        self._outcomes: dict[str, catalog.Outcome] = {}
        self._state.watch(self._note)
        self._follower = followers.Follower(
            STREAM, self._state, log, clock, rng
        )

    @property
    def state(self) -> records_state.ConfigurationState:
        """The configuration as replayed here."""
        return self._state

    async def run(self) -> typing.NoReturn:
        """Follow the stream for ever; ``publish`` needs it."""
        await self._follower.run()

    async def wait_current(self, deadline: float) -> bool:
        """Wait until everything on the log has been read."""
        return await self._follower.wait_caught_up(deadline)

    async def publish(
        self, payload: bytes, deadline: float
    ) -> Published | Undecided:
        """Append a record and wait for the decision on it."""
        record_id = uuid.uuid4().hex
        self._follower.expect(record_id)
        try:
            reason = await self._append(_with_id(payload, record_id), deadline)
            verdict = await self._follower.verdict(record_id, deadline)
        finally:
            self._follower.forget(record_id)
        if verdict is None:
            return Undecided(reason)
        return Published(self._outcomes.pop(record_id))

    async def _append(self, payload: bytes, deadline: float) -> str:
        reason = 'the log gave no answer'
        while self._clock.now() < deadline:
            limit = min(deadline, self._clock.now() + APPEND_SECONDS)
            result = await self._log.append(STREAM, payload, limit)
            if result.is_ok():
                return 'the record was not read back'
            match result.error:
                case external_api.Unavailable(reason=text):
                    reason = f'the log is out of reach: {text}'
                case other:
                    return f'the append has no known end: {other}'
            await anyio.sleep(RETRY_SECONDS)
        return reason

    def _note(self, outcome: catalog.Outcome) -> None:
        if outcome.record_id:
            self._outcomes[outcome.record_id] = outcome


def _with_id(payload: bytes, record_id: str) -> bytes:
    raw = msgspec.json.decode(payload)
    if isinstance(raw, dict):
        raw['record_id'] = record_id
    return msgspec.json.encode(raw)
