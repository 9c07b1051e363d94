"""Publishes configuration records and reports their outcome."""

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
APPEND_TIMEOUT_SECONDS: typing.Final = 5.0
RETRY_INTERVAL_SECONDS: typing.Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A record that was read back from the log, accepted or refused."""

    outcome: catalog.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """A record not read back before the deadline; it may still be appended."""

    reason: str


class Publisher:
    """Appends records to the configuration stream and reads them back.

    The outcome of an append whose response was lost is found by reading. The
    append is not retried: a second copy after another operator's record would
    undo that record.
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
        self._state.watch(self._record_outcome)
        self._follower = followers.Follower(
            STREAM, self._state, log, clock, rng
        )

    @property
    def state(self) -> records_state.ConfigurationState:
        """The configuration, replayed from the stream."""
        return self._state

    async def run(self) -> typing.NoReturn:
        """Follow the stream until cancelled; ``publish`` relies on it."""
        await self._follower.run()

    async def wait_caught_up(self, deadline: float) -> bool:
        """Wait until the stream has been read to its end."""
        return await self._follower.wait_caught_up(deadline)

    async def publish(
        self, payload: bytes, deadline: float
    ) -> Published | Undecided:
        """Append a record and wait until it is read back."""
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
        reason = 'the deadline passed before the append'
        while self._clock.now() < deadline:
            append_deadline = min(
                deadline, self._clock.now() + APPEND_TIMEOUT_SECONDS
            )
            result = await self._log.append(STREAM, payload, append_deadline)
            if result.is_ok():
                return 'the record was not read back'
            match result.error:
                case external_api.Unavailable(reason=text):
                    reason = f'the log is unreachable: {text}'
                case other:
                    return f'the outcome of the append is unknown: {other}'
            await anyio.sleep(RETRY_INTERVAL_SECONDS)
        return reason

    def _record_outcome(self, outcome: catalog.Outcome) -> None:
        if outcome.record_id:
            self._outcomes[outcome.record_id] = outcome


def _with_id(payload: bytes, record_id: str) -> bytes:
    record = msgspec.json.decode(payload)
    if isinstance(record, dict):
        record['record_id'] = record_id
    return msgspec.json.encode(record)
