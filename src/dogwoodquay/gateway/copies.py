"""Passes configurations on between instances."""

from __future__ import annotations

import typing
import zlib

import anyio

from . import members
from . import messages
from ..observe import logs
from . import store_api
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks

__all__ = ['ConfigurationCopies', 'ConfigurationCopy']

_LOG: typing.Final = logs.ComponentLog('copies')

# An instance follows the owner's views until the last one is older.
FOLLOW_SECONDS: typing.Final = 1.0
# Larger configurations are read from the store by each instance: on a slow
# link a copy of them takes longer than an instance can wait for it.
MAX_BODY_BYTES: typing.Final = 2 * 1024 * 1024
# A frame of the peer protocol has at most 1 MiB.
MAX_COMPRESSED_BYTES: typing.Final = 960 * 1024
COMPRESSION_LEVEL: typing.Final = 1
# How long a follower waits for a holder.
HOLDER_WAIT_SECONDS: typing.Final = 1.5
# How long a holder's answer may take, and the bytes of a body that it may
# take a second longer for.
ANSWER_SECONDS: typing.Final = 0.7
BODY_BYTES_PER_SECOND: typing.Final = 1536 * 1024

_NOTHING_NEWER: typing.Final = messages.ConfigurationBody(-1, 0, b'')


class ConfigurationCopy(typing.NamedTuple):
    """A configuration as stored, and the position after its record."""

    version: int
    body: bytes
    position: store_api.Position


class ConfigurationCopies:
    """Passes configurations on between instances.

    The owner's views appoint the instances that read the store. The others
    follow: they learn of new versions from the views and ask an instance
    that has the newest one for a copy.
    """

    def __init__(
        self, transport: wire_api.Transport, clock: clocks.Clock
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._followed_until = float('-inf')
        self._holder = ''
        self._view_changed = anyio.Event()
        self._kept: ConfigurationCopy | None = None
        self._body_bytes = 0
        self._answer = _NOTHING_NEWER

    @property
    def following(self) -> bool:
        """Whether the owner's views replace reads of the store."""
        return (
            self._clock.now() < self._followed_until
            and self._body_bytes <= MAX_BODY_BYTES
        )

    def on_view(self, reads_store: bool, holder: str) -> None:
        """Apply a view of the owner.

        :param reads_store: whether this instance is to read the store.
        :param holder: the instance to ask for the newest version, empty if
            there is none or this instance has that version.
        """
        self._followed_until = (
            float('-inf')
            if reads_store
            else self._clock.now() + FOLLOW_SECONDS
        )
        if reads_store or holder != self._holder:
            self._wake_waiting()
        self._holder = holder

    def on_view_lost(self) -> None:
        """End following, as the owner did not answer or is unknown."""
        self._followed_until = float('-inf')
        self._holder = ''
        self._wake_waiting()

    async def wait_to_read(self) -> None:
        """Return as soon as this instance has to read the store itself."""
        while self.following:
            await self._wait_for_view(self._followed_until)

    def keep(self, copy: ConfigurationCopy) -> None:
        """Keep the configuration in force for other instances."""
        self._kept = copy
        self._body_bytes = len(copy.body)
        self._answer = _NOTHING_NEWER

    async def wait_for_other_holder(self, seconds: float) -> None:
        """Wait for a time, at most until a view names another holder."""
        asked, until = self._holder, self._clock.now() + seconds
        while (
            self._holder in ('', asked) or self._body_bytes > MAX_BODY_BYTES
        ) and self._clock.now() < until:
            await self._wait_for_view(until)

    async def fetch(self, newer_than: int) -> ConfigurationCopy | None:
        """Ask the holder for a newer version; ``None`` if that fails.

        A follower waits until a holder has time for it.
        """
        if self._body_bytes > MAX_BODY_BYTES:
            return None
        wait_until = self._clock.now() + HOLDER_WAIT_SECONDS
        while (
            not self._holder
            and self.following
            and self._clock.now() < wait_until
        ):
            await self._wait_for_view(min(wait_until, self._followed_until))
        holder = self._holder
        transfer_seconds = self._body_bytes / BODY_BYTES_PER_SECOND
        deadline = self._clock.now() + ANSWER_SECONDS + transfer_seconds
        address = members.member_address(holder)
        if address is None:
            return None
        answer = await self._transport.request(
            wire_api.PeerAddress(*address),
            messages.FetchConfiguration(newer_than),
            messages.ConfigurationBody,
            deadline,
        )
        if answer.is_error():
            self._on_failure(holder, answer.error.reason)
            return None
        version = answer.ok.version
        position = store_api.Position(
            answer.ok.store_era, answer.ok.next_offset
        )
        if version <= newer_than:
            self._on_failure(holder, 'nothing_newer')
            return None
        body = _unpack(answer.ok.compressed)
        if body is None:
            self._on_failure(holder, 'unreadable')
            return None
        _LOG.write('fetched', version=version, holder=holder)
        return ConfigurationCopy(version, body, position)

    async def handle_fetch(
        self,
        sender: wire_api.Sender,
        message: messages.FetchConfiguration,
        deadline: float,
    ) -> messages.ConfigurationBody:
        """Answer another instance with the configuration in force."""
        if self._kept is not None:
            self._answer = _pack(self._kept)
            self._kept = None
        if self._answer.version <= message.newer_than:
            return _NOTHING_NEWER
        return self._answer

    def _wake_waiting(self) -> None:
        self._view_changed.set()
        self._view_changed = anyio.Event()

    async def _wait_for_view(self, until: float) -> None:
        """Wait for a view that changes something, or until a time."""
        with anyio.move_on_after(until - self._clock.now()):
            await self._view_changed.wait()

    def _on_failure(self, holder: str, reason: str) -> None:
        """Ask this holder no more before the next view."""
        if self._holder == holder:
            self._holder = ''
        _LOG.write('not_fetched', holder=holder, reason=reason)


def _pack(copy: ConfigurationCopy) -> messages.ConfigurationBody:
    compressed = b''
    if len(copy.body) <= MAX_BODY_BYTES:
        compressed = zlib.compress(copy.body, COMPRESSION_LEVEL)
    if not 0 < len(compressed) <= MAX_COMPRESSED_BYTES:
        _LOG.write('too_large', version=copy.version, bytes=len(copy.body))
        return _NOTHING_NEWER
    return messages.ConfigurationBody(
        copy.version, copy.position.offset, compressed, copy.position.era
    )


def _unpack(compressed: bytes) -> bytes | None:
    """Return the body, ``None`` if it is incomplete, corrupt or too large."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(compressed, MAX_BODY_BYTES)
    except zlib.error:
        return None
    return body if unpacker.eof else None
