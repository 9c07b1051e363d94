"""Appends through a few relays, which limits the appends to the log.

Above a number of instances, each sends its batches to a relay, which appends
them together with its own and those of other instances. A relay need not be
trusted: the order of the log decides claims, and the claimant reads it.
"""

from __future__ import annotations

import enum
import typing

import anyio
import expression
import xxhash

from . import entries
from ..external import api as external_api
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import batcher
    from ..membership import api as membership_api

__all__ = ['RelayAnswer', 'RelayBatch', 'RelayLog', 'RelayOutcome']

RELAYS_PER_STREAM: typing.Final = 9


class RelayOutcome(enum.IntEnum):
    """The result of a relayed batch."""

    APPENDED = 0
    UNSURE = 1
    FAILED = 2


class RelayBatch(wire_api.Message, frozen=True, tag='once.relay'):
    """Requests that a relay appends the entries of a record."""

    stream: str
    payload: bytes


class RelayAnswer(wire_api.Message, frozen=True, tag='once.relayed'):
    """The result of a ``RelayBatch``."""

    outcome: RelayOutcome


class RelayLog:
    """A log that appends through a relay when there are many instances.

    :param relay_above: the number of instances up to which each appends to
        the log itself.
    """

    def __init__(
        self,
        log: external_api.Log,
        members: membership_api.Membership,
        transport: wire_api.Transport,
        clock: clocks.Clock,
        relay_above: int,
    ) -> None:
        self._log = log
        self._members = members
        self._transport = transport
        self._clock = clock
        self._relay_above = relay_above
        self._batchers: dict[str, batcher.Batcher] = {}
        transport.register(RelayBatch, self._on_batch)
        transport.register(RelayAnswer)

    @property
    def writers(self) -> int:
        """The number of instances that append to the log."""
        members = len(self._members.members())
        return (
            min(members, RELAYS_PER_STREAM)
            if members > self._relay_above
            else members
        )

    def register_batcher(
        self, stream: str, stream_batcher: batcher.Batcher
    ) -> None:
        """Append the relayed batches of a stream through a batcher."""
        self._batchers[stream] = stream_batcher

    def relays(self, stream: str) -> tuple[membership_api.Member, ...]:
        """Return the relays of a stream, none if there are few instances."""
        live = self._members.live()
        if len(live) <= self._relay_above:
            return ()
        ranked = sorted(live, key=lambda member: _rank(stream, member))
        return tuple(ranked[:RELAYS_PER_STREAM])

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, external_api.LogError]:
        """Append a record.

        :return: the offset, -1 if a relay appended the record.
        """
        relay = self._relay(stream)
        if relay is None:
            return await self._log.append(stream, payload, deadline)
        address = wire_api.PeerAddress(relay.address, relay.port)
        answer = await self._transport.request(
            address, RelayBatch(stream, payload), RelayAnswer, deadline
        )
        match answer:
            case expression.Result(tag='ok', ok=relayed):
                return _result(relayed.outcome)
            case expression.Result(error=wire_api.Unreachable()):
                return await self._log.append(stream, payload, deadline)
            case _:
                return expression.Error(external_api.Ambiguous('relay'))

    def _relay(self, stream: str) -> membership_api.Member | None:
        own = self._members.own
        relays = self.relays(stream)
        if not relays or own.instance_id in {m.instance_id for m in relays}:
            return None
        same_domain = [
            m for m in relays if m.failure_domain == own.failure_domain
        ]
        candidates = same_domain or list(relays)
        return min(candidates, key=lambda m: _rank(own.instance_id, m))

    async def _on_batch(
        self, sender: wire_api.Sender, message: RelayBatch, deadline: float
    ) -> RelayAnswer | None:
        stream_batcher = self._batchers.get(message.stream)
        if stream_batcher is None:
            return None
        batch = entries.CODEC.decode(message.payload)
        pending_entries = [
            stream_batcher.add_without_verdict(entry) for entry in batch
        ]
        waiting = [
            pending for pending in pending_entries if pending is not None
        ]
        outcome = RelayOutcome.UNSURE
        try:
            with anyio.move_on_after(max(0.0, deadline - self._clock.now())):
                outcome = await _outcome(waiting)
        finally:
            for pending in waiting:
                pending.dropped = True
        if len(waiting) < len(pending_entries):
            outcome = RelayOutcome.UNSURE
        return RelayAnswer(outcome)


async def _outcome(
    pending_entries: abc.Sequence[batcher.PendingEntry],
) -> RelayOutcome:
    outcome = RelayOutcome.APPENDED
    for pending in pending_entries:
        await pending.append_ended.wait()
        if not pending.appended:
            unsure = pending.may_be_on_log or outcome is RelayOutcome.UNSURE
            outcome = RelayOutcome.UNSURE if unsure else RelayOutcome.FAILED
    return outcome


def _result(
    outcome: RelayOutcome,
) -> expression.Result[int, external_api.LogError]:
    match outcome:
        case RelayOutcome.APPENDED:
            return expression.Ok(-1)
        case RelayOutcome.UNSURE:
            return expression.Error(external_api.Ambiguous('relay'))
        case RelayOutcome.FAILED:
            return expression.Error(external_api.Unavailable('relay'))


def _rank(salt: str, member: membership_api.Member) -> int:
    text = f'{salt}\0{member.instance_id}'
    return xxhash.xxh3_64_intdigest(text.encode())
