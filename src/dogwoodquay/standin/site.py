"""A complete site on loopback: platform, engines and plain services."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import typing

import anyio
import anyio.abc

from ..external import api
from ..external import memory
from ..external.memory import batch
from . import platform
from . import server
from . import upstream

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Address', 'AnyUpstream', 'SiteOptions', 'StandInSite', 'Upstream']

GIB: typing.Final = 2**30


class Address(typing.NamedTuple):
    """The address of a stand-in."""

    host: str
    port: int


class SiteOptions(typing.NamedTuple):
    """The number, size and behavior of the stand-ins of a site."""

    services: tuple[str, ...] = ('counter',)
    engines: int = 5
    service_servers: int = 3
    capacity_bytes: int = 80 * GIB
    fencing: bool = True
    forgets_fence: bool = False
    lists_loading: bool = True
    throughput: batch.Throughput = batch.Throughput()
    loads_per_second: float = 1.6
    parallel_loads: int = 6
    load_bytes_per_second: float = 8.0 * GIB
    retention_seconds: float = 3600.0
    list_lag_seconds: float = 1.0
    seed: int = 1
    log_port: int = 0
    list_port: int = 0
    weights_port: int = 0


_Fake = typing.TypeVar('_Fake', bound=memory.FakeEngine | memory.FakeService)


@dataclasses.dataclass(frozen=True)
class Upstream(typing.Generic[_Fake]):
    """An engine or a plain service's server, with its failure domain."""

    server_id: str
    failure_domain: str
    fake: _Fake
    server: server.Server

    @property
    def address(self) -> Address:
        """The address of the server."""
        return Address(server.LOOPBACK, self.server.port)


AnyUpstream = Upstream[memory.FakeEngine] | Upstream[memory.FakeService]


class StandInSite:
    """All external systems of a deployment, with fault injection.

    The fakes are attributes, so that their faults can be set directly.
    """

    def __init__(self, options: SiteOptions | None = None) -> None:
        options = options or SiteOptions()
        self.options = options
        self.time = memory.SystemTimeline()
        self._rng = random.Random(options.seed)
        self.log = memory.MemoryLog(
            self.time, self._rng, options.retention_seconds
        )
        self.instances = memory.MemoryInstanceList(
            self.time, self._rng, options.list_lag_seconds
        )
        self.weights = memory.MemoryWeightStore(
            self.time,
            options.loads_per_second,
            options.parallel_loads,
            options.load_bytes_per_second,
        )
        self.run_counter = memory.RunCounter()
        self.engines = tuple(
            self._engine(index) for index in range(options.engines)
        )
        self.services = tuple(
            self._service(name, index)
            for name in options.services
            for index in range(options.service_servers)
        )
        self._log_server = server.Server(
            platform.LogApp(self.log, self.time), options.log_port
        )
        self._list_server = server.Server(
            platform.InstanceListApp(self.instances, self.time),
            options.list_port,
        )
        self._weights_server = server.Server(
            platform.WeightStoreApp(self.weights, self.time),
            options.weights_port,
        )
        self._group: anyio.abc.TaskGroup | None = None

    @property
    def log_address(self) -> Address:
        """The address of the log."""
        return Address(server.LOOPBACK, self._log_server.port)

    @property
    def list_address(self) -> Address:
        """The address of the instance list."""
        return Address(server.LOOPBACK, self._list_server.port)

    @property
    def weights_address(self) -> Address:
        """The address of the weight store."""
        return Address(server.LOOPBACK, self._weights_server.port)

    @property
    def memory_violations(self) -> int:
        """The number of loads that exceeded the capacity of their engine."""
        return sum(found.fake.memory_violations for found in self.engines)

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[StandInSite]:
        """Run all servers until the context is left."""
        async with anyio.create_task_group() as group:
            self._group = group
            for found in self._servers():
                await found.start(group)
            for site_upstream in self._upstreams():
                self._announce(site_upstream, api.InstanceState.LIVE)
            try:
                yield self
            finally:
                with anyio.CancelScope(shield=True):
                    for found in self._servers():
                        await found.kill()

    def upstream(self, server_id: str) -> AnyUpstream:
        """Return the engine or service server with an id."""
        for found in self._upstreams():
            if found.server_id == server_id:
                return found
        raise KeyError(server_id)

    async def kill(self, server_id: str) -> None:
        """End a server's process and shut down its connections."""
        found = self.upstream(server_id)
        found.fake.kill()
        await found.server.kill()

    async def restart(self, server_id: str) -> None:
        """Start a new process with empty memory at the same address."""
        found = self.upstream(server_id)
        if self._group is None:
            raise RuntimeError('the site is not running')
        await found.server.kill()
        found.fake.restart()
        await found.server.start(self._group)
        self._announce(found, api.InstanceState.LIVE)

    def drain(self, server_id: str) -> None:
        """Mark a server as leaving on the instance list."""
        self._announce(self.upstream(server_id), api.InstanceState.LEAVING)

    def set_log_outage(self, outage: bool) -> None:
        """Start or end an outage of the log."""
        self.log.set_outage(outage)

    def _upstreams(self) -> tuple[AnyUpstream, ...]:
        return (*self.engines, *self.services)

    def _servers(self) -> tuple[server.Server, ...]:
        return (
            self._log_server,
            self._list_server,
            self._weights_server,
            *(found.server for found in self._upstreams()),
        )

    def _announce(self, found: AnyUpstream, state: api.InstanceState) -> None:
        self.instances.put(
            api.Instance(
                found.server_id,
                server.LOOPBACK,
                found.server.port,
                found.failure_domain,
                state,
                api.InstanceKind.UPSTREAM,
            )
        )

    def _engine(self, index: int) -> Upstream[memory.FakeEngine]:
        profile = memory.EngineProfile(
            f'engine-{index + 1}',
            self.options.capacity_bytes,
            self.options.fencing,
            self.options.forgets_fence,
            self.options.lists_loading,
            throughput=self.options.throughput,
        )
        fake = memory.FakeEngine(profile, self.time, self.weights, self._rng)
        app = upstream.EngineApp(fake, self.time)
        domain = _failure_domain(index)
        return Upstream(profile.server_id, domain, fake, server.Server(app))

    def _service(self, name: str, index: int) -> Upstream[memory.FakeService]:
        server_id = f'{name}-{index + 1}'
        fake = memory.FakeService(
            name, server_id, self.time, self._rng, self.run_counter
        )
        app = upstream.ServiceApp(fake, self.time)
        domain = _failure_domain(index)
        return Upstream(server_id, domain, fake, server.Server(app))


def _failure_domain(index: int) -> str:
    return f'domain-{"abc"[index % 3]}'
