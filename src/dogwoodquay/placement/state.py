"""The working state of one plan: memory, replicas and expected load."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from . import desired

__all__ = ['PoolState', 'ServerPlan', 'spread_need']


_MIN_RELATIVE_THROUGHPUT: typing.Final = 0.05
_ARTIFACTS_PER_SLICE: typing.Final = 250


class ServerPlan:
    """The state of one server after the moves planned so far."""

    __slots__ = (
        'contents',
        'free_bytes',
        'load',
        'loading',
        'ready',
        'server_id',
    )

    def __init__(self, contents: api.Contents) -> None:
        self.contents = contents
        self.server_id = contents.server_id
        used = sum(contents.possible.values())
        self.free_bytes = contents.capacity_bytes - used
        self.ready = set(contents.ready)
        self.loading: set[str] = set()
        self.load = 0.0

    @property
    def relative_throughput(self) -> float:
        """The throughput relative to that of a healthy server."""
        return max(self.contents.relative_throughput, _MIN_RELATIVE_THROUGHPUT)

    @property
    def failure_domain(self) -> str:
        """The server's failure domain."""
        return self.contents.failure_domain

    @property
    def leaving(self) -> bool:
        """Whether the server is leaving the pool."""
        return self.contents.leaving

    def may_contain(self, artifact: str) -> bool:
        """Return whether an artifact may be in memory or is to be loaded."""
        return artifact in self.contents.possible or artifact in self.loading


def spread_need(
    need: float, loads: abc.Sequence[float], throughputs: abc.Sequence[float]
) -> list[float]:
    """Spread a need over servers so that their loads become equal.

    Only servers below the resulting load level get a share.

    :return: the load that each server gains, in the order of ``loads``.
    """
    order = sorted(zip(loads, throughputs))
    total_work = need
    total_throughput = 0.0
    level = 0.0
    for index, (load, throughput) in enumerate(order):
        total_work += load * throughput
        total_throughput += throughput
        level = total_work / total_throughput
        if index + 1 == len(order) or level <= order[index + 1][0]:
            break
    return [max(0.0, level - load) for load in loads]


class PoolState:
    """The servers of a pool, and the replicas and load of each artifact.

    ``staying`` are the servers that are not leaving. ``needs`` holds each
    artifact's demand as a number of busy servers.
    """

    def __init__(
        self,
        contents: abc.Iterable[api.Contents],
        artifacts: dict[str, desired.Artifact],
        needs: dict[str, float],
    ) -> None:
        self.servers = [ServerPlan(item) for item in contents]
        self.artifacts = artifacts
        self.needs = needs
        self.staying = [item for item in self.servers if not item.leaving]
        self._predecessors = {
            item.successor: item.artifact
            for item in artifacts.values()
            if item.successor
        }
        self._ready: dict[str, list[ServerPlan]] = {}
        self._replicas: dict[str, list[ServerPlan]] = {}
        self._load_shares: dict[str, list[float]] = {}

    def add_loading(self, server: ServerPlan, artifact: str) -> None:
        """Add an artifact that a server is loading."""
        server.loading.add(artifact)

    def find_replicas(self) -> abc.Iterator[None]:
        """Find all replicas and spread the load, in slices.

        Has to run once, after all calls of ``add_loading``.
        """
        self._replicas = {artifact: [] for artifact in self.artifacts}
        for server in self.staying:
            for artifact in sorted(server.ready | server.loading):
                if self._is_usable(server, artifact):
                    self._replicas[artifact].append(server)
            for artifact in server.ready:
                self._ready.setdefault(artifact, []).append(server)
        yield None
        for number, artifact in enumerate(self.artifacts):
            self._add_load(artifact)
            if number % _ARTIFACTS_PER_SLICE == _ARTIFACTS_PER_SLICE - 1:
                yield None

    def rebalance(self) -> None:
        """Spread each artifact's load again, given the load of all others.

        The first pass places each artifact before the load of the later
        ones is known.
        """
        for artifact, replicas in self._replicas.items():
            if len(replicas) > 1 and self.needs[artifact] > 0.0:
                self._remove_load(artifact)
                self._add_load(artifact)

    def replicas(self, artifact: str) -> list[ServerPlan]:
        """Return the staying servers where an artifact is or gets ready."""
        return self._replicas.get(artifact, [])

    def ready(self, artifact: str) -> list[ServerPlan]:
        """Return the staying servers where an artifact is ready."""
        return self._ready.get(artifact, [])

    def ready_anywhere(self, artifact: str) -> bool:
        """Return whether any server, leaving or not, can serve an artifact."""
        return any(artifact in server.ready for server in self.servers)

    def predecessor(self, artifact: str) -> str:
        """Return the version that an artifact replaces, if any."""
        return self._predecessors.get(artifact, '')

    def has_only_base(self, server: ServerPlan, base: str) -> bool:
        """Return whether a server has no other version of this base.

        With two versions in memory, an adapter might attach to the old one.
        """
        predecessor = self.predecessor(base)
        return not predecessor or not server.may_contain(predecessor)

    def load_shares(self, artifact: str) -> list[float]:
        """Return an artifact's load on each server of ``replicas``."""
        return self._load_shares.get(artifact, [])

    def add(self, server: ServerPlan, artifact: str) -> None:
        """Add a planned load to a server, and spread the need again."""
        self._remove_load(artifact)
        server.loading.add(artifact)
        server.free_bytes -= self.artifacts[artifact].memory_bytes
        self._replicas[artifact].append(server)
        self._add_load(artifact)

    def remove(self, server: ServerPlan, artifact: str) -> None:
        """Remove a replica to unload; its memory stays charged for now."""
        server.ready.discard(artifact)
        if server.leaving:
            return
        self._ready[artifact].remove(server)
        if server not in self._replicas.get(artifact, ()):
            return
        self._remove_load(artifact)
        self._replicas[artifact].remove(server)
        self._add_load(artifact)

    def _is_usable(self, server: ServerPlan, artifact: str) -> bool:
        """Return whether a replica on a server counts.

        It has to be declared, and an adapter also needs its base there.
        """
        item = self.artifacts.get(artifact)
        if item is None:
            return False
        if not item.base:
            return True
        has_base = item.base in server.ready or item.base in server.loading
        return has_base and self.has_only_base(server, item.base)

    def _remove_load(self, artifact: str) -> None:
        """Subtract an artifact's load from its servers."""
        replicas = self._replicas[artifact]
        for server, load in zip(replicas, self._load_shares.get(artifact, [])):
            server.load -= load
        self._load_shares[artifact] = []

    def _add_load(self, artifact: str) -> None:
        """Spread an artifact's load over its servers."""
        replicas = self._replicas[artifact]
        if not replicas:
            return
        loads = [server.load for server in replicas]
        throughputs = [server.relative_throughput for server in replicas]
        shares = spread_need(self.needs[artifact], loads, throughputs)
        self._load_shares[artifact] = shares
        for server, load in zip(replicas, shares):
            server.load += load
