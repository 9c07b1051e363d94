"""Decides at which software version a stream may go on."""

from __future__ import annotations

import hashlib
import typing

from . import api
from ..fleet import first_version
from ..observe import logs
from . import origins as stream_origins

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from ..fleet import registry as registries

__all__ = [
    'EarlierList',
    'OriginRecords',
    'Place',
    'ServerList',
    'StreamVersions',
]

_LOG: typing.Final = logs.ComponentLog('request')

# How long a caller that takes up a stream waits for the records of peers and
# of the log.
FIND_SECONDS: typing.Final = 0.8
# The same for the next read of the list of servers.
LIST_READ_SECONDS: typing.Final = 1.5
# The same for what was listed before this instance was started.
HISTORY_READ_SECONDS: typing.Final = 1.5
# Whether services have several versions is determined anew after this time.
SEVERAL_SECONDS: typing.Final = 0.25
# How long the first event waits for the log; later ones are held meanwhile.
CONFIRM_WAIT_SECONDS: typing.Final = 0.3
# The longest time that a caller may come back after, whatever it says.
MAX_LIFETIME_SECONDS: typing.Final = 60.0
TENANT_DIGEST_BYTES: typing.Final = 4
# Records name attempts with longer identifiers by a digest.
MAX_ATTEMPT_ID_CHARACTERS: typing.Final = 200
LONG_ID_DIGEST_BYTES: typing.Final = 16


class Place(typing.NamedTuple):
    """The service at which a stream goes on.

    ``version`` is the software version of its servers, ``None`` for any.
    """

    service: str
    version: str | None


class Confirmation(typing.Protocol):
    """Tells whether a record outlives all instances."""

    @property
    def confirmed(self) -> bool:
        """Whether the store has acknowledged the record."""

    async def wait(self, seconds: float) -> None:
        """Wait until it has, for some time at most."""


class OriginRecords(typing.Protocol):
    """Keeps among the instances which version began a stream."""

    async def record(
        self,
        stream_id: str,
        origin: stream_origins.Origin,
        lifetime_seconds: float,
        confirmed: bool = False,
    ) -> Confirmation:
        """Record the origin of a stream for some time.

        :param confirmed: whether somebody waits for the confirmation.
        """

    @property
    def log_complete(self) -> bool:
        """Whether the last lookup in the log has read all of it."""

    async def find(
        self, stream_id: str, deadline: float, owner: str = ''
    ) -> tuple[stream_origins.Origin, ...]:
        """Return a stream's origins, one for each service and owner.

        Those of others are only complete if there is none of the owner.
        """


class ServerList(typing.Protocol):
    """Reads the platform's list of servers at intervals."""

    async def wait_read(self, after: float, deadline: float) -> bool:
        """Wait until a read of the list that began after a time has ended.

        :return: whether there was one before the deadline.
        """


class EarlierList(typing.Protocol):
    """Reads what was listed before the list was followed."""

    async def extend(self, since: float, deadline: float) -> None:
        """Extend the registry's knowledge back to a time, if possible."""

    async def weights(
        self, service: str, model: str, since: float, deadline: float
    ) -> list[dict[str, int]] | None:
        """Return the versions' servers in each state of the list."""


class StreamVersions:
    """Records which version begins a stream, and finds it again.

    What servers of two versions write does not fit together. A stream goes on
    only at the version that began it, so that one whose version cannot be
    told is refused. New streams begin at the version that their identifier
    selects, which can be told again without a record. Where one begins at
    another version, its events are held until the record is safe.
    """

    def __init__(
        self,
        origins: OriginRecords,
        registry: registries.Registry,
        servers: ServerList,
        earlier: EarlierList,
        clock: clocks.Clock,
    ) -> None:
        self._earlier = earlier
        self._origins = origins
        self._registry = registry
        self._servers = servers
        self._clock = clock
        self._several = False
        self._several_until = float('-inf')

    def first_version(self, call: api.Call) -> str | None:
        """Return the version at which a new stream begins, ``None`` for any.

        While its servers cannot be used, the stream may begin at another one.
        """
        terms = call.terms
        if not call.route.resumable or terms.takes_up_stream:
            return None
        if not self._has_several_versions():
            return None
        return self._select(call)

    def _select(self, call: api.Call) -> str | None:
        """Return the version that the identifier of a new stream selects."""
        terms = call.terms
        entries = (item.entry for item in self._registry.servers.values())
        return first_version.choose(
            _stream_id(terms.attempt_id),
            first_version.weights(entries, call.service, terms.model),
        )

    def _has_several_versions(self) -> bool:
        now = self._clock.now()
        if now >= self._several_until:
            self._several = self._registry.has_several_versions(now)
            self._several_until = now + SEVERAL_SECONDS
        return self._several

    async def record(
        self, call: api.Call, version: str
    ) -> Confirmation | None:
        """Record the version of the server that sends a stream's events.

        :return: what has to be confirmed before an event is passed on,
            ``None`` if the version can be told without the record.
        """
        if not call.route.resumable:
            return None
        terms = call.terms
        seconds = max(call.route.timeout_seconds, terms.wait_seconds)
        confirmed = not self._told_without_record(call, version)
        confirmation = await self._origins.record(
            _stream_id(terms.resumes or terms.attempt_id),
            stream_origins.Origin(call.service, version, _owner(call)),
            min(seconds, MAX_LIFETIME_SECONDS),
            confirmed,
        )
        if not confirmed:
            return None
        await confirmation.wait(CONFIRM_WAIT_SECONDS)
        if not confirmation.confirmed:
            _LOG.write(
                'held_for_record', request=call.request_id, version=version
            )
        return confirmation

    def _told_without_record(self, call: api.Call, version: str) -> bool:
        """Whether who lacks the record finds the same version, or none.

        A stream that is taken up has a record already, unless it goes on at
        another service.
        """
        if call.terms.takes_up_stream:
            return version == call.origin_version or not call.terms.resumes
        if not self._has_several_versions() or len(call.route.services) > 1:
            return True
        return version == self._select(call)

    async def find(self, call: api.Call) -> Place | None:
        """Return where a request runs, ``None`` if its version is unknown."""
        terms, route = call.terms, call.route
        # Also if the route can no longer be resumed: the stream has begun.
        if not route.streaming or not terms.takes_up_stream:
            return Place(call.service, None)
        source, place, log_read = 'records', None, False
        if terms.resumes:
            deadline = min(call.deadline, self._clock.now() + FIND_SECONDS)
            stream_id = _stream_id(terms.resumes)
            found = await self._origins.find(stream_id, deadline, _owner(call))
            log_read = self._origins.log_complete
            place = _recorded_place(call, found)
            if found and place is None:
                _LOG.write('origins_differ', request=call.request_id)
                return None
        if place is None:
            source, place = 'list', await self._sole_version(call)
        if place is None and log_read:
            source, place = 'hash', await self._selected_version(call)
        _LOG.write(
            'taken_up',
            request=call.request_id,
            resumes=terms.resumes,
            last_event=terms.last_event,
            known_by=source if place is not None else '',
            service=place.service if place is not None else '',
            version=place.version if place is not None else None,
        )
        return place

    async def _sole_version(self, call: api.Call) -> Place | None:
        """Return the only version that can have begun a stream, if so.

        The list has to be read after the request arrived, as a server of a
        new version may have begun the stream since the last read.
        """
        names = {item.service for item in call.route.services}
        if len(names) > 1:
            return None
        now = self._clock.now()
        deadline = min(call.deadline, now + LIST_READ_SECONDS)
        if not await self._servers.wait_read(now, deadline):
            return None
        begun = now - call.route.timeout_seconds
        if not call.terms.resumes:
            # There is no record to be found: the list is all there is.
            begun = max(begun, self._registry.followed_since)
        if not await self._knows_list(call, begun):
            return None
        version = self._registry.sole_version(call.service, begun)
        return None if version is None else Place(call.service, version)

    async def _selected_version(self, call: api.Call) -> Place | None:
        """Return the version that a stream's identifier selects, if certain.

        It has to be the same in each state of the list in which the stream
        may have begun. A stream that began at another version is in the log.
        """
        names = {item.service for item in call.route.services}
        if len(names) > 1:
            return None
        now = self._clock.now()
        states = await self._earlier.weights(
            call.service,
            call.terms.model,
            now - call.route.timeout_seconds,
            min(call.deadline, now + HISTORY_READ_SECONDS),
        )
        stream_id = _stream_id(call.terms.resumes)
        versions = {
            first_version.choose(stream_id, counts) for counts in states or ()
        }
        if len(versions) != 1:
            return None
        version = versions.pop()
        return None if version is None else Place(call.service, version)

    async def _knows_list(self, call: api.Call, since: float) -> bool:
        """Whether it is known what was listed since a time.

        The log of the list is read for what this instance has not followed,
        unless the service has several versions anyway.
        """
        registry = self._registry
        if since >= registry.followed_since:
            return True
        if not registry.sole_version(call.service, registry.followed_since):
            return False
        deadline = self._clock.now() + HISTORY_READ_SECONDS
        await self._earlier.extend(since, min(call.deadline, deadline))
        return since >= registry.followed_since


def _stream_id(attempt_id: str) -> str:
    """Return the identifier under which a stream's origin is kept.

    It does not depend on the tenant: a key may belong to another one, or to
    none, when the stream is taken up. No caller can send the identifier of a
    long one, as no header holds a line break.
    """
    if len(attempt_id) > MAX_ATTEMPT_ID_CHARACTERS:
        return f'\n{_digest(attempt_id, LONG_ID_DIGEST_BYTES)}'
    return attempt_id


def _owner(call: api.Call) -> str:
    """Return what tells apart the tenants that chose the same identifier."""
    if call.tenant is None:
        return ''
    return _digest(call.tenant.name, TENANT_DIGEST_BYTES)


def _digest(text: str, size: int) -> str:
    data = text.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(data, digest_size=size).hexdigest()


def _recorded_place(
    call: api.Call, found: tuple[stream_origins.Origin, ...]
) -> Place | None:
    """Return where a stream with known origins goes on, if that is certain.

    Versions are compared within a service. A stream whose route has moved to
    another service may begin there at any version. The origins of other
    tenants count if there is none of the caller's: its key may have moved.
    They have to agree then, as streams of several tenants may have the same
    identifier.
    """
    if not found:
        return None
    owner = _owner(call)
    own = [origin for origin in found if origin.owner == owner]
    names = {item.service for item in call.route.services}
    places = dict.fromkeys(
        Place(origin.service, origin.version)
        for origin in own or found
        if origin.service in names
    )
    if not places:
        return Place(call.service, None)
    if own or len(places) == 1:
        return next(iter(places))
    return None
