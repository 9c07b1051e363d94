"""Snapshots of replayed streams, asked of and given to peers.

An instance that starts while the log is out takes the highest one.
"""

from __future__ import annotations

import random
import typing

from . import fanout
from ..journal import api as journal_api
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from ..journal import follower as followers
    from ..membership import api as membership_api

__all__ = ['PeerSnapshots', 'SnapshotAnswer', 'SnapshotRequest']

ASKED_PEERS: typing.Final = 3


class SnapshotRequest(wire_api.Message, frozen=True, tag='snapshot?'):
    """Asks for a stream's state if it covers more than an offset."""

    stream: str
    above: int


class SnapshotAnswer(wire_api.Message, frozen=True, tag='snapshot'):
    """A stream's state; ``None`` when the peer has nothing newer."""

    snapshot: journal_api.Snapshot | None


class PeerSnapshots:
    """Implements ``journal.api.SnapshotSource`` over the inner protocol."""

    def __init__(
        self,
        instance_id: str,
        transport: wire_api.Transport,
        membership: membership_api.Membership,
        rng: random.Random,
    ) -> None:
        self._instance_id = instance_id
        self._transport = transport
        self._membership = membership
        self._rng = rng
        self._followers: dict[str, followers.Follower] = {}
        transport.register(SnapshotRequest, self._answer)
        transport.register(SnapshotAnswer)

    def serve(self, follower: followers.Follower) -> None:
        """Give the state of a follower to peers that ask."""
        self._followers[follower.stream] = follower

    def withhold(self, stream: str) -> None:
        """Give a stream's state to peers no more."""
        self._followers.pop(stream, None)

    async def snapshots(
        self, stream: str, above: int, deadline: float
    ) -> tuple[journal_api.Snapshot, ...]:
        """Return snapshots of a stream from a few random peers."""
        others = [
            member
            for member in self._membership.members()
            if member.instance_id != self._instance_id
        ]
        asked = self._rng.sample(others, min(ASKED_PEERS, len(others)))
        answers = await fanout.ask_all(
            self._transport,
            asked,
            SnapshotRequest(stream, above),
            SnapshotAnswer,
            deadline,
        )
        return tuple(
            answer.snapshot
            for answer in answers.values()
            if answer.snapshot is not None
        )

    async def _answer(
        self,
        sender: wire_api.Sender,
        message: SnapshotRequest,
        deadline: float,
    ) -> SnapshotAnswer:
        follower = self._followers.get(message.stream)
        if follower is None or follower.offset <= message.above:
            return SnapshotAnswer(None)
        snapshot = journal_api.make_snapshot(message.stream, follower.state)
        return SnapshotAnswer(snapshot)
