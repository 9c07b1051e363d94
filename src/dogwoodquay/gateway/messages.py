"""Messages between instances and the owner.

The owner is the instance that gives the orders to all engines.
"""

from __future__ import annotations

import msgspec

from ..wire import api as wire_api

__all__ = [
    'AccountRow',
    'AdapterFound',
    'AdapterInUse',
    'AppendOrigins',
    'BrokenRow',
    'CapacityRow',
    'ConfigurationBody',
    'CrashRow',
    'DepartureRow',
    'EngineView',
    'FetchConfiguration',
    'FindAdapter',
    'FindOrigins',
    'FleetView',
    'GrantRow',
    'HandOver',
    'HandOverAnswer',
    'InstanceLoad',
    'InstanceRow',
    'KeepOrigins',
    'LimitRow',
    'LoadingModel',
    'LogOrigins',
    'ModelDemand',
    'OriginRow',
    'OriginsFound',
    'OriginsKept',
    'ProbeProgressRow',
    'ProbeRow',
    'ProgressRow',
    'PoolRow',
    'RunningRequests',
    'StallRow',
    'UsageRow',
    'VerdictRow',
    'VersionDemand',
    'WaitingRow',
    'WantRow',
]


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """The demand for a model at one instance; ``rate`` is per second."""

    service: str
    model: str
    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


class AdapterInUse(msgspec.Struct, frozen=True, array_like=True):
    """An adapter that a request in flight uses."""

    server_id: str
    model: str
    adapter: str


class RunningRequests(msgspec.Struct, frozen=True, array_like=True):
    """The number of one instance's requests for a model at a server."""

    server_id: str
    model: str
    count: int


class VersionDemand(msgspec.Struct, frozen=True, array_like=True):
    """The waiting requests that need a model at one software version."""

    service: str
    model: str
    version: str
    waiting: int


class DepartureRow(msgspec.Struct, frozen=True, array_like=True):
    """A server that has left, and the seconds since that was learned.

    ``announced`` is whether the server reported it itself. The last two are
    the start of its process and the number of its last known entry.
    """

    server_id: str
    seconds: float
    announced: bool
    started_ms: int
    report_number: int


class BrokenRow(msgspec.Struct, frozen=True, array_like=True):
    """A request whose answer broke off when its server ended.

    ``own`` tells it from others, ``shared`` are the traits that may have
    caused it: parts of its prompt, and one for the whole request.
    """

    own: str
    shared: tuple[str, ...]


class CrashRow(msgspec.Struct, frozen=True, array_like=True):
    """The end of a server, the seconds since then and its broken requests.

    ``started_ms`` is the start of its process, zero if that is unknown.
    """

    server_id: str
    seconds: float
    requests: tuple[BrokenRow, ...]
    started_ms: int = 0


class VerdictRow(msgspec.Struct, frozen=True, array_like=True):
    """Traits that come together in requests which are refused.

    ``seconds`` have passed since such a request came; ``crashes`` is the
    number of servers that had ended.
    """

    parts: tuple[str, ...]
    seconds: float
    crashes: int


class ProbeRow(msgspec.Struct, frozen=True, array_like=True):
    """A verdict that is not firm yet (``quarantine.probes``)."""

    parts: tuple[str, ...]
    rivals: tuple[str, ...]
    number: int
    left: int
    member: str


class ProbeProgressRow(msgspec.Struct, frozen=True, array_like=True):
    """What an instance tells of the probes of a verdict."""

    parts: tuple[str, ...]
    number: int
    failed: bool


class LimitRow(msgspec.Struct, frozen=True, array_like=True):
    """A server's limit of requests per second, ``None`` if it has ended.

    It was so ``seconds`` ago.
    """

    server_id: str
    started_ms: int
    rate: float | None
    seconds: float


class CapacityRow(msgspec.Struct, frozen=True, array_like=True):
    """What a server of a paced service has said, ``age`` seconds ago.

    ``count`` requests were measured there, which took ``work`` usual times of
    their kinds: since the last load, or in about the last second in a view.
    ``others`` are the requests there of all but the receiver of a view.
    """

    server_id: str
    started_ms: int
    running: int
    waiting: int
    pace: float
    age: float
    count: float
    work: float
    others: int = 0


class WantRow(msgspec.Struct, frozen=True, array_like=True):
    """Requests that wait for permits of a limited server, by priority."""

    server_id: str
    started_ms: int
    priority: int
    count: int


class GrantRow(msgspec.Struct, frozen=True, array_like=True):
    """Permits for requests to a limited server.

    ``waiting`` holds pairs of a priority and how many others want.
    """

    server_id: str
    started_ms: int
    count: int
    waiting: tuple[tuple[int, int], ...]


class ProgressRow(msgspec.Struct, frozen=True, array_like=True):
    """The progress of an instance's requests at a server.

    ``pending`` have waited long for their first byte. The server last sent
    something ``seconds`` ago, ``None`` for never.
    """

    server_id: str
    started_ms: int
    pending: int
    seconds: float | None


class StallRow(msgspec.Struct, frozen=True, array_like=True):
    """A server that is not used for some seconds, as it answers nobody."""

    server_id: str
    started_ms: int
    seconds: float


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """The units of a tenant at one instance since its start.

    ``unsettled`` are those admitted since the last load that was answered.
    """

    tenant: str
    asked: float
    admitted: float
    unsettled: float


class AccountRow(msgspec.Struct, frozen=True, array_like=True):
    """The owner's account of a tenant.

    ``asked`` is in units per second at all instances together, ``part`` the
    receiver's part of that.
    """

    tenant: str
    level: float
    asked: float
    part: float


class WaitingRow(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one priority that wait for a pool.

    ``on_time`` can still meet their objective, ``late`` cannot; ``arriving``
    is how many come per second.
    """

    priority: int
    on_time: int
    late: int
    arriving: float


class PoolRow(msgspec.Struct, frozen=True, array_like=True):
    """The load of the servers of a plain service, or of a model.

    ``completed`` is in answers per second, ``work`` in seconds at servers per
    second, ``running`` the number of requests at servers.
    """

    service: str
    model: str
    completed: float
    work: float
    running: int
    waiting: tuple[WaitingRow, ...]


class InstanceLoad(wire_api.Message, frozen=True, tag='load'):
    """The load of one instance, sent to the owner.

    ``instance_id`` is its member name, which contains its peer address.
    ``roster_version`` is that of the last roster that it received. The
    requests in ``at_version`` are counted in ``models`` as well.
    ``departures`` are the servers that have left in the last seconds.
    ``configuration_seconds`` is how long ago the newest version that it knows
    was the newest in the store, ``None`` if it does not know.
    ``crashes`` are its reports of ended servers, ``sound_parts`` those
    suspects of the last view that it has seen in a complete answer.
    ``limits`` is what it has heard itself of servers' limits lately, and
    ``wants`` the permits that its waiting requests could use. ``progress`` is
    that of its requests at servers which may stall, ``usage`` that of the
    tenants with recent requests. ``capacities`` is what it has heard of
    servers of paced services since its last load. ``pools`` are those under
    overload control with requests lately, and ``turns`` the callers that it
    has refused (``overload.returns``). ``probes`` are the verdicts that it
    knows not to be firm, ``probe_progress`` what became of its own probes.
    """

    instance_id: str
    configuration_version: int
    models: tuple[ModelDemand, ...]
    in_use: tuple[AdapterInUse, ...]
    running: tuple[RunningRequests, ...]
    failure_domain: str = ''
    roster_version: int = 0
    at_version: tuple[VersionDemand, ...] = ()
    departures: tuple[DepartureRow, ...] = ()
    configuration_seconds: float | None = None
    crashes: tuple[CrashRow, ...] = ()
    sound_parts: tuple[str, ...] = ()
    verdicts: tuple[VerdictRow, ...] = ()
    limits: tuple[LimitRow, ...] = ()
    wants: tuple[WantRow, ...] = ()
    progress: tuple[ProgressRow, ...] = ()
    usage: tuple[UsageRow, ...] = ()
    capacities: tuple[CapacityRow, ...] = ()
    pools: tuple[PoolRow, ...] = ()
    turns: bytes = b''
    probes: tuple[ProbeRow, ...] = ()
    probe_progress: tuple[ProbeProgressRow, ...] = ()


class InstanceRow(msgspec.Struct, frozen=True, array_like=True):
    """A live instance and its failure domain."""

    member: str
    failure_domain: str


class EngineView(msgspec.Struct, frozen=True, array_like=True):
    """The owner's view of one engine.

    ``loaded`` holds the adapters by model. ``other_requests`` counts the
    requests there of all instances except the receiver of the view.
    """

    server_id: str
    started_ms: int
    loaded: dict[str, tuple[str, ...]]
    other_requests: int


class LoadingModel(msgspec.Struct, frozen=True, array_like=True):
    """A model that no engine can serve yet, and the seconds until one can."""

    service: str
    model: str
    seconds: float


class FleetView(wire_api.Message, frozen=True, tag='view'):
    """The owner's view of all engines and instances, sent to one instance.

    An instance that is not the owner any more sends ``owner`` alone.
    ``reads_store`` is whether the receiver reads the configuration from the
    store; ``configuration_holder`` is the instance that it may ask for the
    newest version, empty for none. ``roster`` holds the live instances; it
    is empty if the receiver has that version already, or for version 0.
    ``departures`` are the servers that have left in the last seconds.
    ``configuration_seconds`` is how long ago ``configuration_version`` was
    the newest in the store, ``None`` if that is not known. ``suspects`` are
    the parts of prompts that may be convicted. ``verdicts`` replace those of
    the receiver, unless an earlier build sends none. ``limits`` are those of
    servers that the owner knows, ``grants`` the receiver's permits; ``None``
    if the owner may give out none, or if its build does not know of them.
    ``stalls`` are the servers that accept requests and answer none.
    ``allotments`` are the accounts of tenants with recent requests, ``None``
    where ``grants`` is.
    ``capacities`` are the newest figures of servers of paced services.
    ``pools`` are the sums of the others for the pools of the receiver, and
    ``turns`` the callers that others have refused since its last view.
    ``probes`` are the verdicts that are not firm yet.
    """

    owner: str
    engines: tuple[EngineView, ...]
    loading: tuple[LoadingModel, ...]
    instances: int
    configuration_version: int
    reads_store: bool = True
    configuration_holder: str = ''
    roster_version: int = 0
    roster: tuple[InstanceRow, ...] = ()
    departures: tuple[DepartureRow, ...] = ()
    configuration_seconds: float | None = None
    suspects: tuple[str, ...] = ()
    verdicts: tuple[VerdictRow, ...] | None = None
    limits: tuple[LimitRow, ...] = ()
    grants: tuple[GrantRow, ...] | None = None
    stalls: tuple[StallRow, ...] = ()
    allotments: tuple[AccountRow, ...] | None = None
    capacities: tuple[CapacityRow, ...] = ()
    pools: tuple[PoolRow, ...] = ()
    turns: bytes = b''
    probes: tuple[ProbeRow, ...] = ()


class FindAdapter(wire_api.Message, frozen=True, tag='find'):
    """Asks the owner to load an adapter on some engine.

    ``version`` is the only software version of engines that may be used,
    ``None`` for any. Earlier builds do not know it.
    """

    service: str
    model: str
    adapter: str
    version: str | None = None


class AdapterFound(wire_api.Message, frozen=True, tag='found'):
    """The server that has loaded an adapter, empty for none."""

    server_id: str


class HandOver(wire_api.Message, frozen=True, tag='hand_over'):
    """Offers the duty to a peer when its owner stops.

    ``hand_over_number``, the group's ``generation`` and ``store_era`` make up
    the fencing token of the successor. Earlier builds do not send the era.
    """

    predecessor: str
    generation: int
    hand_over_number: int
    store_era: int = 0


class HandOverAnswer(wire_api.Message, frozen=True, tag='handed'):
    """Whether the peer has taken over the duty."""

    accepted: bool


class FetchConfiguration(wire_api.Message, frozen=True, tag='fetch'):
    """Asks an instance for its configuration if that is newer."""

    newer_than: int


class ConfigurationBody(wire_api.Message, frozen=True, tag='configuration'):
    """A configuration as stored, compressed by zlib.

    ``next_offset`` follows its record in the era ``store_era``, which earlier
    builds do not send. ``version`` is -1 for nothing newer.
    """

    version: int
    next_offset: int
    compressed: bytes
    store_era: int = 0


class OriginRow(msgspec.Struct, frozen=True, array_like=True):
    """The version of a service that began a stream.

    ``seconds`` is the time for which the record is to be kept. ``owner``
    tells apart the streams of callers that chose the same identifier.
    """

    stream_id: str
    service: str
    version: str
    seconds: float
    owner: str = ''


class KeepOrigins(wire_api.Message, frozen=True, tag='keep_origins'):
    """Asks an instance to keep which versions began streams."""

    rows: tuple[OriginRow, ...]


class LogOrigins(wire_api.Message, frozen=True, tag='log_origins'):
    """Asks an instance to write to the log which versions began streams."""

    rows: tuple[OriginRow, ...]


class AppendOrigins(wire_api.Message, frozen=True, tag='append_origins'):
    """Asks for an answer once rows are in the log; declined if they are not.

    ``LogOrigins`` is answered before that.
    """

    rows: tuple[OriginRow, ...]


class OriginsKept(wire_api.Message, frozen=True, tag='origins_kept'):
    """All rows are kept."""


class FindOrigins(wire_api.Message, frozen=True, tag='find_origins'):
    """Asks an instance which versions began streams."""

    stream_ids: tuple[str, ...]


class OriginsFound(wire_api.Message, frozen=True, tag='origins_found'):
    """The rows that the instance holds of the streams asked for."""

    rows: tuple[OriginRow, ...]
