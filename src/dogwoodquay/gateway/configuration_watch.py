"""Follows the configuration in the store and at other instances."""

from __future__ import annotations

import typing

import anyio

from . import copies as configuration_copies
from ..external import api as external_api
from ..observe import logs
from . import reachability
from . import read_position
from . import repeats
from . import store_api
from . import versions as configuration_versions

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from ..routes import api as routes_api

    _Page = expression.Result[store_api.Records, store_api.StoreError]

__all__ = ['ConfigurationWatch']

_LOG: typing.Final = logs.ComponentLog('configuration')

# How long the store holds a poll. Its answer, also an empty one, shows as of
# when the active version is the newest; a lost one shows nothing.
POLL_SECONDS: typing.Final = 1.2
# A read that has no answer for so long, beyond the time that the store holds
# it, is repeated on another connection.
PATIENCE_SECONDS: typing.Final = 0.3
# The longest time that a refusal waits for a read of the store.
CONFIRM_SECONDS: typing.Final = 0.5
# A store that refuses at once is not asked again for so long, or it would get
# a call for each request without a route or a known key.
CONFIRM_PAUSE_SECONDS: typing.Final = 0.5
# The longest time for an answer to begin.
MAX_ANSWER_SECONDS: typing.Final = 8.0
# Time for the poll's own answer, which comes when the peers get theirs.
OWN_ANSWER_SECONDS: typing.Final = 0.3
# Pauses between attempts to get a version that a peer has.
FIRST_PAUSE_SECONDS: typing.Final = 0.3
MAX_PAUSE_SECONDS: typing.Final = 4.0
# The same where the newest version has a form that this build cannot read.
UNREADABLE_PAUSE_SECONDS: typing.Final = 30.0
# The outcome of a poll that received no record; counted but not logged.
_IDLE: typing.Final = 'idle'


class ConfigurationWatch:
    """Activates each higher version of the configuration.

    A long poll of the store delivers new versions, or another instance
    passes them on. A version of which a peer tells is also read beside the
    poll. No read whose answer has begun is given up for a newer version:
    where reads take longer than changes or views follow each other, none
    would ever end.

    :param max_age_seconds: how long a word on the newest version is relied
        on. After that an instance asks the store itself, and refuses nothing
        for good.
    """

    def __init__(
        self,
        store: store_api.Store,
        topic: store_api.Topic,
        key: str,
        decode: abc.Callable[
            [bytes], expression.Result[routes_api.Configuration, str]
        ],
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        copies: configuration_copies.ConfigurationCopies,
        on_change: abc.Callable[[routes_api.Configuration], None],
        max_age_seconds: float,
    ) -> None:
        self._store = store
        self._topic = topic
        self._key = key
        self._decode = decode
        self._clock = clock
        self._metrics = metrics
        self._copies = copies
        self._on_change = on_change
        self._max_age_seconds = max_age_seconds
        self._reachability = reachability.StoreReachability(
            'configuration', clock, metrics, MAX_ANSWER_SECONDS
        )
        self._versions = configuration_versions.ConfigurationVersions()
        self._position = read_position.ReadPosition()
        self._idle_poll: anyio.CancelScope | None = None
        self._poll_arriving = False
        self._newest_reads = 0
        self._confirmation: anyio.Event | None = None
        self._next_confirmation = float('-inf')
        self._unreadable = False
        self._missing = anyio.Event()
        self._add_gauges()

    @property
    def store_unavailable(self) -> bool:
        """Whether the last read of the store failed."""
        return self._reachability.unavailable

    @property
    def version(self) -> int:
        """The active version, -1 before the first."""
        return self._versions.active

    @property
    def versions(self) -> configuration_versions.ConfigurationVersions:
        """The versions that are active and known."""
        return self._versions

    @property
    def outdated(self) -> bool:
        """Whether there is, or may be, a newer version than the active one."""
        oldest = self._clock.now() - self._max_age_seconds
        return self._arriving or not self._versions.is_current(oldest)

    @property
    def _arriving(self) -> bool:
        """Whether a read has begun whose answer holds a version."""
        return self._poll_arriving or self._newest_reads > 0

    @property
    def confirmed_seconds(self) -> float:
        """How long ago the newest known version was the newest."""
        return self._clock.now() - self._versions.confirmed_at

    async def confirm(self) -> bool:
        """Ask the store if the last word on the versions is too old.

        :return: whether the active version is known to be the newest.
        """
        if not self.outdated:
            return True
        if self._arriving or self._versions.behind:
            return False
        if self._clock.now() < self._next_confirmation:
            return False
        if self._confirmation is None:
            self._confirmation = anyio.Event()
            try:
                with anyio.move_on_after(CONFIRM_SECONDS):
                    await self._ask()
            finally:
                self._confirmation.set()
                self._confirmation = None
                if self.outdated:
                    self._next_confirmation = (
                        self._clock.now() + CONFIRM_PAUSE_SECONDS
                    )
        else:
            with anyio.move_on_after(CONFIRM_SECONDS):
                await self._confirmation.wait()
        return not self.outdated

    def on_peer_version(
        self, version: int, as_of: float = float('-inf')
    ) -> None:
        """Get a version that a peer has and this instance does not.

        :param as_of: when it was the newest, as far as the peer knows.
        """
        self._versions.on_confirmed(version, as_of)
        if self._versions.on_heard_of(version, self._clock.now()):
            _LOG.write('behind', version=self.version, heard_of=version)
        if self._versions.behind:
            self._missing.set()

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._catch_up)

    async def step(self) -> None:
        """Read once; after the first time, wait for a change."""
        position = self._position.position
        if position is None:
            await self._read_newest()
        else:
            await self._poll(position)

    async def _follow(self) -> typing.NoReturn:
        """Read the store unless peers tell what is the newest version."""
        while True:
            if self._position.position and not self.store_unavailable:
                await self._wait_while_informed()
            await self.step()

    async def _wait_while_informed(self) -> None:
        """Wait as long as views tell of the versions without a gap."""
        while self._copies.following:
            left = self._max_age_seconds
            if not self._versions.behind:
                left -= self.confirmed_seconds
            if left <= 0.0:
                return
            with anyio.move_on_after(left):
                await self._copies.wait_to_read()

    async def _poll(self, position: store_api.Position) -> None:
        began = self._clock.now()
        wait_seconds = 0.0 if self._copies.following else POLL_SECONDS
        page: _Page | None = None
        try:
            with anyio.CancelScope() as self._idle_poll:
                page = await self._read_changes(
                    position, wait_seconds, self._on_begin
                )
            if page is not None:
                self._end_read('poll', page, began, wait_seconds)
        finally:
            self._idle_poll = None
            self._poll_arriving = False
        if page is None:
            self._record_read('poll', 'cancelled', 0, began)
        elif page.is_error():
            await self._on_failure(page.error)
        elif page.ok.incomplete and (
            self._position.position == page.ok.position
        ):
            # Of several versions only the last one is of use.
            self._position.clear()

    async def _read_changes(
        self,
        position: store_api.Position,
        wait_seconds: float,
        on_any_begin: abc.Callable[[], None],
    ) -> _Page:
        """Return the records from a position on, waiting for the first."""

        async def read(on_begin: abc.Callable[[], None]) -> _Page:
            return await self._store.read(
                self._topic,
                position,
                wait_seconds,
                self._clock.now()
                + wait_seconds
                + self._reachability.answer_seconds,
                single=True,
                on_begin=on_begin,
            )

        return await repeats.read_repeatedly(
            read, wait_seconds + PATIENCE_SECONDS, on_any_begin
        )

    def _on_begin(self) -> None:
        self._poll_arriving = True
        self._idle_poll = None

    async def _ask(self) -> None:
        """Read the records that the store has now."""
        position = self._position.position
        if position is None:
            return
        began = self._clock.now()
        page = await self._read_changes(position, 0.0, store_api.ignore_begin)
        self._end_read('ask', page, began)
        if page.is_error() and isinstance(page.error, store_api.Restored):
            await self._read_newest()

    async def _read_newest(self) -> bool:
        """Read the newest version; return whether it was activated."""

        async def read(on_begin: abc.Callable[[], None]) -> _Page:
            deadline = self._clock.now() + self._reachability.answer_seconds
            return await self._store.newest(self._topic, deadline, on_begin)

        began = self._clock.now()
        self._newest_reads += 1
        try:
            page = await repeats.read_repeatedly(
                read, PATIENCE_SECONDS, store_api.ignore_begin
            )
            applied = self._end_read('newest', page, began)
        finally:
            self._newest_reads -= 1
        if page.is_error():
            await self._on_failure(page.error)
        return applied

    async def _on_failure(self, error: store_api.StoreError) -> None:
        """Wait after a failed read, unless the records are not there."""
        match error:
            case external_api.Trimmed() | store_api.Restored():
                self._reachability.on_answer()
            case _:
                await self._reachability.on_failure(error)

    def _end_read(
        self, kind: str, page: _Page, began: float, wait_seconds: float = 0.0
    ) -> bool:
        """Apply an answer; return whether a version was activated.

        :param wait_seconds: how long the store waited before an empty answer.
        """
        if page.is_error():
            reason = reachability.reason_of(page.error)
            self._record_read(kind, reason, 0, began)
            if self._position.on_failure(page.error):
                _LOG.write('position_lost', kind=kind, reason=reason)
            return False
        self._reachability.on_answer()
        position = page.ok.position
        if self._position.is_outdated(position.era):
            self._record_read(kind, 'outdated', 0, began)
            return False
        applied = [
            self._activate(record.value, position)
            for record in page.ok.records
            if record.key == self._key and record.value
        ]
        self._position.advance(position)
        outcome = 'applied' if any(applied) else 'unchanged'
        if kind != 'newest' and not page.ok.records:
            outcome = _IDLE
        if not page.ok.incomplete and not self._unreadable:
            waited = 0.0 if page.ok.records else wait_seconds
            as_of = min(self._clock.now(), began + waited)
            self._versions.on_confirmed(self.version, as_of)
        size = sum(len(record.value) for record in page.ok.records)
        self._record_read(kind, outcome, size, began)
        return any(applied)

    async def _catch_up(self) -> typing.NoReturn:
        """Get the versions of which peers tell."""
        while True:
            await self._missing.wait()
            self._missing = anyio.Event()
            pause = FIRST_PAUSE_SECONDS
            if not self._copies.following:
                await anyio.sleep(OWN_ANSWER_SECONDS)
            while self._versions.behind:
                if self._arriving:
                    await anyio.sleep(FIRST_PAUSE_SECONDS)
                elif await self._get_missing():
                    continue
                elif self._unreadable:
                    await anyio.sleep(UNREADABLE_PAUSE_SECONDS)
                else:
                    await self._copies.wait_for_other_holder(pause)
                    pause = min(2 * pause, MAX_PAUSE_SECONDS)

    async def _get_missing(self) -> bool:
        """Get a missing version from a peer, else from the store.

        :return: whether a version was activated.
        """
        copy = await self._copies.fetch(self.version)
        applied = copy is not None and self._activate(copy.body, copy.position)
        if not applied and self._versions.behind and not self._arriving:
            applied = await self._read_newest()
        if applied and self._idle_poll is not None:
            # It waits for what has been read; its answer may be lost.
            self._idle_poll.cancel()
        return applied

    def _activate(self, value: bytes, position: store_api.Position) -> bool:
        """Activate a configuration if it is newer; return whether it was."""
        decoded = self._decode(value)
        if decoded.is_error():
            self._unreadable = True
            _LOG.write('unreadable', reason=decoded.error)
            return False
        self._unreadable = False
        configuration = decoded.ok
        version, before = configuration.version, self.version
        if version <= before:
            return False
        self._on_change(configuration)
        behind_seconds = self._versions.on_active(version, self._clock.now())
        self._position.advance(position)
        self._copies.keep(
            configuration_copies.ConfigurationCopy(version, value, position)
        )
        _LOG.write(
            'in_force',
            version=version,
            before=before,
            routes=len(configuration.routes),
        )
        if behind_seconds is not None:
            _LOG.write(
                'current', version=version, seconds=round(behind_seconds, 3)
            )
        return True

    def _record_read(
        self, kind: str, outcome: str, size: int, began: float
    ) -> None:
        self._metrics.configuration_read(kind, outcome, size)
        if outcome == _IDLE:
            return
        _LOG.write(
            'read',
            kind=kind,
            outcome=outcome,
            bytes=size,
            seconds=round(self._clock.now() - began, 3),
        )

    def _add_gauges(self) -> None:
        versions = self._versions
        self._metrics.gauge(
            'gateway_configuration_version',
            'The active version of the configuration',
            lambda: versions.active,
        )
        self._metrics.gauge(
            'gateway_configuration_newest_version',
            'The newest known version of the configuration',
            lambda: versions.newest,
        )
        self._metrics.gauge(
            'gateway_configuration_behind_seconds',
            'How long a newer configuration is known but not active',
            lambda: versions.behind_seconds(self._clock.now()),
        )
        self._metrics.gauge(
            'gateway_configuration_age_seconds',
            'How long ago the newest known version was the newest',
            lambda: self.confirmed_seconds,
        )
