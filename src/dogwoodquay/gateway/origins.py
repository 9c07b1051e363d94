"""Keeps among the instances which software version began each stream."""

from __future__ import annotations

import collections
import typing

import anyio
import msgspec

from . import batches
from . import holders
from . import members
from . import messages
from ..observe import logs
from . import origin_appends
from . import origin_log
from . import origin_table
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import metrics as gateway_metrics

__all__ = ['Origin', 'StreamOrigins']

_LOG: typing.Final = logs.ComponentLog('origins')

# The number of other instances that keep a record.
COPIES: typing.Final = 2
# The longest time for which a stream waits until another instance has its
# record.
RECORD_WAIT_SECONDS: typing.Final = 0.05
KEEP_TIMEOUT_SECONDS: typing.Final = 0.1
# A peer that kept no record in that time is given none for so long.
PASS_OVER_SECONDS: typing.Final = 1.0
# Records gather for so long before they are sent to a writer, unless a
# service has several versions.
GATHER_SECONDS: typing.Final = 0.05
WRITER_TIMEOUT_SECONDS: typing.Final = 0.3
FIND_TIMEOUT_SECONDS: typing.Final = 0.3
# Lookups are not held up by earlier ones that a peer has not answered.
FIND_BATCHES: typing.Final = 8
HAND_OVER_SECONDS: typing.Final = 1.5
# Records without a holder that wait for another roster.
MAX_ALONE: typing.Final = 10_000
# Streams with longer identifiers are not recorded.
MAX_ID_CHARACTERS: typing.Final = 256
# Told by an instance whose settings name no failure domain; builds that keep
# no records tell an empty one.
NO_DOMAIN: typing.Final = '-'

Origin = origin_table.Origin


class _Record:
    """A record on its way to its holders."""

    def __init__(self, row: messages.OriginRow, candidates: list[str]) -> None:
        self.row = row
        self.candidates = candidates
        self.copies_pending = COPIES
        self.kept = False
        self.settled = anyio.Event()


class _Lookup:
    """A question to several peers."""

    def __init__(
        self, stream_id: str, owner: str, answers_pending: int
    ) -> None:
        self.stream_id = stream_id
        self.owner = owner
        self.answers_pending = answers_pending
        self.origins: tuple[Origin, ...] = ()
        self.settled = anyio.Event()

    def on_answer(self, origins: tuple[Origin, ...]) -> None:
        """Record what a peer knows, nothing if it did not answer."""
        self.answers_pending -= 1
        if self.settled.is_set():
            return
        self.origins = tuple(dict.fromkeys((*self.origins, *origins)))
        if not self.answers_pending or _has_owner(self.origins, self.owner):
            self.settled.set()


class StreamOrigins:
    """Keeps which software version began each stream, here and at peers."""

    def __init__(
        self,
        transport: wire_api.Transport,
        member: str,
        failure_domain: str,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        log: origin_log.OriginLog,
    ) -> None:
        self._log = log
        self._transport = transport
        self._member = member
        self._failure_domain = failure_domain or NO_DOMAIN
        self._clock = clock
        self._metrics = metrics
        self._table = origin_table.OriginTable()
        self._order = holders.HolderOrder()
        self._passed_over: dict[str, float] = {}
        self._keeps = batches.PeerBatches(self._send_records, in_flight=1)
        self._finds = batches.PeerBatches(self._send_lookups, FIND_BATCHES)
        self._writes = batches.PeerBatches(
            self._send_to_writer, 1, self._gather_seconds
        )
        self._appends = origin_appends.ConfirmedAppends(
            log, clock, self._writer_of, self._sent
        )
        self._leaving = False
        self._roster_known = False
        self._alone: dict[str, messages.OriginRow] = {}
        self._instances = 0
        metrics.gauge(
            'gateway_roster_instances',
            'Live instances by the last roster',
            lambda: self._instances,
        )
        transport.register(messages.KeepOrigins, self._handle_keep)
        transport.register(messages.FindOrigins, self._handle_find)
        transport.register(messages.LogOrigins, self._handle_log)
        transport.register(messages.AppendOrigins, self._handle_append)
        transport.register(messages.OriginsKept)
        transport.register(messages.OriginsFound)

    @property
    def failure_domain(self) -> str:
        """The failure domain of this instance."""
        return self._failure_domain

    @property
    def roster_known(self) -> bool:
        """Whether this instance has learnt of the others."""
        return self._roster_known

    @property
    def log_complete(self) -> bool:
        """Whether the last lookup in the log has read all of it."""
        return self._log.complete

    def held(self, stream_id: str, now: float) -> bool:
        """Whether this instance holds a record that is still needed."""
        return self._table.seconds_left(stream_id, now) > 0

    def update_roster(self, roster: tuple[messages.InstanceRow, ...]) -> None:
        """Replace the instances that hold records."""
        self._order.update(roster)
        self._instances = len(roster)
        _LOG.write('roster', instances=len(roster))
        known = {row.member for row in roster}
        self._passed_over = {
            member: until
            for member, until in self._passed_over.items()
            if member in known
        }
        self._roster_known = True
        self._place_again()

    async def record(
        self,
        stream_id: str,
        origin: Origin,
        lifetime_seconds: float,
        confirmed: bool = False,
    ) -> origin_appends.Confirmation:
        """Keep which version began a stream: here, at two peers, in the log.

        Returns as soon as one peer has it, at the latest after
        ``RECORD_WAIT_SECONDS``.

        :param confirmed: whether somebody waits for the log.
        :return: tells whether the log has it; never if nobody waits.
        """
        confirmation = origin_appends.Confirmation()
        if not _valid(stream_id):
            self._metrics.origin_recorded('invalid')
            return confirmation
        now = self._clock.now()
        self._table.put(stream_id, origin, lifetime_seconds, now)
        row = _row(stream_id, origin, lifetime_seconds)
        if confirmed:
            confirmation = self._appends.put(row)
        else:
            self._write(row)
        record = self._place(row)
        with anyio.move_on_after(RECORD_WAIT_SECONDS):
            await record.settled.wait()
        if record.kept:
            self._metrics.origin_recorded('kept')
        elif record.settled.is_set():
            if len(self._alone) < MAX_ALONE:
                self._alone[stream_id] = record.row
            self._metrics.origin_recorded('alone')
        else:
            self._metrics.origin_recorded('late')
        return confirmation

    def _place(self, row: messages.OriginRow) -> _Record:
        """Queue a record for its holders."""
        candidates = self._order.candidates(
            row.stream_id, self._member, self._failure_domain
        )
        record = _Record(row, candidates)
        for _ in range(COPIES):
            self._send_copy(record)
        return record

    def _place_again(self) -> None:
        """Send the records that no peer could keep to the new ones."""
        rows, self._alone = self._alone, {}
        now = self._clock.now()
        for row in rows.values():
            left = self._table.seconds_left(row.stream_id, now)
            if left > 0:
                self._place(msgspec.structs.replace(row, seconds=left))

    async def find(
        self, stream_id: str, deadline: float, owner: str = ''
    ) -> tuple[Origin, ...]:
        """Return the origins of a stream, one for each service and owner.

        The log is read if none of the owner is known here and at the peers
        that answer. Empty if it does not have any either.
        """
        if not _valid(stream_id):
            self._metrics.origin_looked_up('invalid')
            return ()
        now = self._clock.now()
        own = self._table.find(stream_id, now)
        if _has_owner(own, owner):
            self._metrics.origin_looked_up('own')
            return own
        peers = self._order.asked(stream_id, self._member)
        lookup = _Lookup(stream_id, owner, len(peers))
        for peer in peers:
            self._finds.put(peer, lookup)
        if peers:
            left = min(deadline - now, FIND_TIMEOUT_SECONDS)
            with anyio.move_on_after(left):
                await lookup.settled.wait()
        if _has_owner(lookup.origins, owner):
            self._metrics.origin_looked_up('peer')
            return lookup.origins
        logged = await self._log.find(stream_id, deadline, owner)
        origins = tuple(dict.fromkeys((*own, *lookup.origins, *logged)))
        if _has_owner(logged, owner):
            self._metrics.origin_looked_up('log')
        else:
            self._metrics.origin_looked_up('moved' if origins else 'unknown')
        return origins

    async def run(self) -> None:
        """Send records and lookups to the peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keeps.run)
            tasks.start_soon(self._finds.run)
            tasks.start_soon(self._writes.run)
            tasks.start_soon(self._appends.run)

    async def hand_over(self) -> None:
        """Pass the records on to their next holders, in a limited time.

        From then on, this instance keeps no more records of others.
        """
        self._leaving = True
        rows_by_peer: dict[str, list[messages.OriginRow]] = (
            collections.defaultdict(list)
        )
        for stream_id, left, origins in self._table.alive(self._clock.now()):
            candidates = self._order.candidates(
                stream_id, self._member, self._failure_domain
            )
            usable = [name for name in candidates if self._usable(name)]
            for peer in usable[:COPIES]:
                rows_by_peer[peer].extend(
                    _row(stream_id, origin, left) for origin in origins
                )
        until = self._clock.now() + HAND_OVER_SECONDS
        with anyio.move_on_after(HAND_OVER_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._log.flush, until)
                for peer, rows in rows_by_peer.items():
                    tasks.start_soon(self._hand_over_to, peer, rows, until)

    async def _hand_over_to(
        self, peer: str, rows: list[messages.OriginRow], until: float
    ) -> None:
        size = batches.MAX_BATCH_ITEMS
        for start in range(0, len(rows), size):
            batch = tuple(rows[start : start + size])
            if not await self._keep_at(peer, batch, until):
                _LOG.write('not_handed_over', member=peer, rows=len(rows))
                return

    def _usable(self, peer: str) -> bool:
        return self._clock.now() >= self._passed_over.get(peer, 0.0)

    def _send_copy(self, record: _Record) -> None:
        """Queue a record for the next peer that may keep it."""
        while record.candidates:
            peer = record.candidates.pop(0)
            if self._usable(peer):
                self._keeps.put(peer, record)
                return
        record.copies_pending -= 1
        if not record.copies_pending:
            record.settled.set()

    async def _send_records(
        self, peer: str, records: tuple[_Record, ...]
    ) -> None:
        """Send a batch; if that fails, the next peers are to keep it."""
        deadline = self._clock.now() + KEEP_TIMEOUT_SECONDS
        rows = tuple(record.row for record in records)
        if await self._keep_at(peer, rows, deadline):
            for record in records:
                record.kept = True
                record.settled.set()
            return
        self._passed_over[peer] = self._clock.now() + PASS_OVER_SECONDS
        for record in (*records, *self._keeps.take_queued(peer)):
            self._send_copy(record)

    def _gather_seconds(self) -> float:
        return 0.0 if self._log.urgent else GATHER_SECONDS

    def _write(self, row: messages.OriginRow) -> None:
        """Have a record written to the log, here if no writer is reached."""
        writer = self._writer_of(row.stream_id)
        if writer is None:
            self._log.put(row)
        else:
            self._writes.put(writer, row)

    def _writer_of(self, stream_id: str) -> str | None:
        """Return who writes a record to the log, ``None`` for this one."""
        for member in self._order.writers(stream_id):
            if member == self._member:
                return None
            if self._usable(member):
                return member
        return None

    async def _send_to_writer(
        self, peer: str, rows: tuple[messages.OriginRow, ...]
    ) -> None:
        """Send a batch; if that fails, the next writer is to have it."""
        deadline = self._clock.now() + WRITER_TIMEOUT_SECONDS
        if await self._sent(peer, messages.LogOrigins(rows), deadline):
            return
        self._passed_over[peer] = self._clock.now() + PASS_OVER_SECONDS
        for row in (*rows, *self._writes.take_queued(peer)):
            self._write(row)

    async def _keep_at(
        self,
        peer: str,
        rows: tuple[messages.OriginRow, ...],
        deadline: float,
    ) -> bool:
        """Return whether a peer has confirmed that it keeps rows."""
        return await self._sent(peer, messages.KeepOrigins(rows), deadline)

    async def _sent(
        self,
        peer: str,
        message: (
            messages.KeepOrigins | messages.LogOrigins | messages.AppendOrigins
        ),
        deadline: float,
    ) -> bool:
        """Return whether a peer has confirmed a message."""
        address = members.member_address(peer)
        if address is None:
            return False
        answer = await self._transport.request(
            wire_api.PeerAddress(*address),
            message,
            messages.OriginsKept,
            deadline,
        )
        if answer.is_error():
            _LOG.write('not_kept', member=peer, reason=answer.error.reason)
        return answer.is_ok()

    async def _send_lookups(
        self, peer: str, lookups: tuple[_Lookup, ...]
    ) -> None:
        """Ask a peer for several streams."""
        found: dict[str, list[Origin]] = collections.defaultdict(list)
        address = members.member_address(peer)
        if address is not None:
            answer = await self._transport.request(
                wire_api.PeerAddress(*address),
                messages.FindOrigins(
                    tuple(lookup.stream_id for lookup in lookups)
                ),
                messages.OriginsFound,
                self._clock.now() + FIND_TIMEOUT_SECONDS,
            )
            for row in answer.ok.rows if answer.is_ok() else ():
                found[row.stream_id].append(_origin(row))
        for lookup in lookups:
            lookup.on_answer(tuple(found.get(lookup.stream_id, ())))

    async def _handle_keep(
        self,
        sender: wire_api.Sender,
        message: messages.KeepOrigins,
        deadline: float,
    ) -> messages.OriginsKept | None:
        if self._leaving:
            return None
        now = self._clock.now()
        for row in message.rows:
            self._table.put(row.stream_id, _origin(row), row.seconds, now)
        return messages.OriginsKept()

    async def _handle_log(
        self,
        sender: wire_api.Sender,
        message: messages.LogOrigins,
        deadline: float,
    ) -> messages.OriginsKept | None:
        if self._leaving:
            return None
        for row in message.rows:
            self._log.put(row)
        return messages.OriginsKept()

    async def _handle_append(
        self,
        sender: wire_api.Sender,
        message: messages.AppendOrigins,
        deadline: float,
    ) -> messages.OriginsKept | None:
        if self._leaving:
            return None
        return await self._appends.handle(sender, message, deadline)

    async def _handle_find(
        self,
        sender: wire_api.Sender,
        message: messages.FindOrigins,
        deadline: float,
    ) -> messages.OriginsFound:
        now = self._clock.now()
        return messages.OriginsFound(
            tuple(
                _row(
                    stream_id,
                    origin,
                    self._table.seconds_left(stream_id, now),
                )
                for stream_id in message.stream_ids
                for origin in self._table.find(stream_id, now)
            )
        )


def _row(stream_id: str, origin: Origin, seconds: float) -> messages.OriginRow:
    return messages.OriginRow(
        stream_id, origin.service, origin.version, seconds, origin.owner
    )


def _origin(row: messages.OriginRow) -> Origin:
    return Origin(row.service, row.version, row.owner)


def _has_owner(origins: tuple[Origin, ...], owner: str) -> bool:
    return any(origin.owner == owner for origin in origins)


def _valid(stream_id: str) -> bool:
    """Return whether messages can carry an identifier."""
    try:
        stream_id.encode()
    except UnicodeEncodeError:
        return False
    return 0 < len(stream_id) <= MAX_ID_CHARACTERS
