"""Exchanges snapshots of replayed streams with peers.

An instance that starts while the log is unavailable restores the snapshot with
the highest offset.
"""

from __future__ import annotations

import typing

import anyio

from ..journal import api as journal_api
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..journal import follower as followers
    from ..membership import api as membership_api

__all__ = ['PeerSnapshots', 'SnapshotPart', 'SnapshotRequest']

ASKED_PEERS: typing.Final = 3
PART_BYTES: typing.Final = 256 << 10


class SnapshotRequest(wire_api.Message, frozen=True, tag='snapshot?'):
    """Asks for a stream's state if its offset is above ``above``."""

    stream: str
    above: int


class SnapshotPart(wire_api.Message, frozen=True, tag='snapshot'):
    """A part of a stream's state.

    No part is sent if the state is not above the requested offset.
    ``offset`` and ``digest`` are those of the whole state.
    """

    offset: int
    digest: bytes
    data: bytes


class PeerSnapshots:
    """Implements ``journal.api.SnapshotSource`` over the peer protocol."""

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
        transport.register(SnapshotRequest, stream=self._on_request)
        transport.register(SnapshotPart)

    def serve(self, follower: followers.Follower) -> None:
        """Serve a follower's state to peers."""
        self._followers[follower.stream] = follower

    def withhold(self, stream: str) -> None:
        """Stop serving a stream's state to peers."""
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
        found: list[journal_api.Snapshot] = []
        async with anyio.create_task_group() as group:
            for member in asked:
                group.start_soon(
                    self._fetch,
                    wire_api.PeerAddress(member.address, member.port),
                    SnapshotRequest(stream, above),
                    deadline,
                    found,
                )
        return tuple(found)

    async def _fetch(
        self,
        peer: wire_api.PeerAddress,
        message: SnapshotRequest,
        deadline: float,
        found: list[journal_api.Snapshot],
    ) -> None:
        parts: list[SnapshotPart] = []
        try:
            async with self._transport.stream(
                peer, message, deadline
            ) as items:
                async for item in items:
                    if isinstance(item, SnapshotPart):
                        parts.append(item)
        except wire_api.StreamBroken:
            return
        if parts:
            found.append(_join(message.stream, parts))

    async def _on_request(
        self,
        sender: wire_api.Sender,
        message: SnapshotRequest,
        deadline: float,
    ) -> abc.AsyncIterator[SnapshotPart]:
        follower = self._followers.get(message.stream)
        if follower is None or follower.offset <= message.above:
            return
        snapshot = journal_api.make_snapshot(message.stream, follower.state)
        for start in range(0, len(snapshot.state), PART_BYTES):
            data = snapshot.state[start : start + PART_BYTES]
            yield SnapshotPart(snapshot.offset, snapshot.digest, data)


def _join(stream: str, parts: list[SnapshotPart]) -> journal_api.Snapshot:
    """Join the parts of a snapshot; the digest reveals a missing part."""
    state = b''.join(part.data for part in parts)
    return journal_api.Snapshot(
        stream, parts[0].offset, parts[0].digest, state
    )
