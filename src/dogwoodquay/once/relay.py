"""Appending through a few relays, so that the log's appends stay bounded.

With many instances each hands its batches to a relay, which appends them
together with its own and those of others. A relay needs no trust: a claim is
decided by its place on the log, and read back by the claimant itself.
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

RELAYS: typing.Final = 9


class RelayOutcome(enum.IntEnum):
    """What became of a batch at its relay."""

    APPENDED = 0
    UNSURE = 1
    FAILED = 2


class RelayBatch(wire_api.Message, frozen=True, tag='once.relay'):
    """Asks a relay to append a record's entries."""

    stream: str
    payload: bytes


class RelayAnswer(wire_api.Message, frozen=True, tag='once.relayed'):
    """Says what became of them."""

    outcome: RelayOutcome


class RelayLog:
    """Appends through a relay when there are more instances than ``above``.

    :param batchers: the batchers of the own shards, by stream.
    """

    def __init__(
        self,
        log: external_api.Log,
        members: membership_api.Membership,
        transport: wire_api.Transport,
        clock: clocks.Clock,
        above: int,
    ) -> None:
        self._log = log
        self._members = members
        self._transport = transport
        self._clock = clock
        self._above = above
        self._batchers: dict[str, batcher.Batcher] = {}
        transport.register(RelayBatch, self._on_batch)
        transport.register(RelayAnswer)

    @property
    def writers(self) -> int:
        """How many instances append to the log."""
        members = len(self._members.members())
        return min(members, RELAYS) if members > self._above else members

    def serve(self, stream: str, own: batcher.Batcher) -> None:
        """Relay for a stream through the own batcher."""
        self._batchers[stream] = own

    def relays(self, stream: str) -> tuple[membership_api.Member, ...]:
        """Return the relays of a stream; none while there are few."""
        live = self._members.live()
        if len(live) <= self._above:
            return ()
        ranked = sorted(live, key=lambda member: _rank(stream, member))
        return tuple(ranked[:RELAYS])

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, external_api.LogError]:
        """Append a record; the offset is -1 when a relay did it."""
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
        near = [m for m in relays if m.failure_domain == own.failure_domain]
        choice = near or list(relays)
        return min(choice, key=lambda m: _rank(own.instance_id, m))

    async def _on_batch(
        self, sender: wire_api.Sender, message: RelayBatch, deadline: float
    ) -> RelayAnswer | None:
        own = self._batchers.get(message.stream)
        if own is None:
            return None
        batch = entries.CODEC.decode(message.payload)
        tickets = [own.post(entry) for entry in batch]
        waiting = [ticket for ticket in tickets if ticket is not None]
        outcome = RelayOutcome.UNSURE
        try:
            with anyio.move_on_after(max(0.0, deadline - self._clock.now())):
                outcome = await _outcome(waiting)
        finally:
            for ticket in waiting:
                ticket.dropped = True
        if len(waiting) < len(tickets):
            outcome = RelayOutcome.UNSURE
        return RelayAnswer(outcome)


async def _outcome(tickets: abc.Sequence[batcher.Ticket]) -> RelayOutcome:
    outcome = RelayOutcome.APPENDED
    for ticket in tickets:
        await ticket.ended.wait()
        if not ticket.appended:
            unsure = ticket.may_land or outcome is RelayOutcome.UNSURE
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
