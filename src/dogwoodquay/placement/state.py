"""The working state of one plan: memory, replicas and spread load."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from . import wanted

__all__ = ['PoolState', 'ServerPlan', 'split']


_MIN_SPEED: typing.Final = 0.05
_PLACED_IN_SLICE: typing.Final = 250


class ServerPlan:
    """One server as the plan so far would have it."""

    __slots__ = (
        'coming',
        'contents',
        'free',
        'load',
        'ready',
        'server_id',
    )

    def __init__(self, contents: api.Contents) -> None:
        self.contents = contents
        self.server_id = contents.server_id
        used = sum(contents.possible.values())
        self.free = contents.capacity_bytes - used
        self.ready = set(contents.ready)
        self.coming: set[str] = set()
        self.load = 0.0

    @property
    def speed(self) -> float:
        """How fast the server works; one is healthy."""
        return max(self.contents.speed, _MIN_SPEED)

    @property
    def domain(self) -> str:
        """The server's failure domain."""
        return self.contents.failure_domain

    @property
    def leaving(self) -> bool:
        """Whether the server is to be emptied."""
        return self.contents.leaving

    def holds(self, artifact: str) -> bool:
        """Return whether an artifact may be in memory, or will be."""
        return artifact in self.contents.possible or artifact in self.coming


def split(
    need: float, loads: abc.Sequence[float], speeds: abc.Sequence[float]
) -> list[float]:
    """Spread a need over servers so that the least loaded get it first.

    :return: what each server's load gains, in the order of ``loads``.
    """
    order = sorted(zip(loads, speeds))
    total = need
    speed = 0.0
    level = 0.0
    for index, (load, own) in enumerate(order):
        total += load * own
        speed += own
        level = total / speed
        if index + 1 == len(order) or level <= order[index + 1][0]:
            break
    return [max(0.0, level - load) for load in loads]


class PoolState:
    """All servers of a pool, and where each artifact is served."""

    def __init__(
        self,
        contents: abc.Iterable[api.Contents],
        artifacts: dict[str, wanted.Artifact],
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
        self._placed: dict[str, list[float]] = {}

    def note_coming(self, server: ServerPlan, artifact: str) -> None:
        """Note an order under way that will make an artifact ready."""
        server.coming.add(artifact)

    def settle(self) -> abc.Iterator[None]:
        """Find all replicas in slices; to be run once after the notes."""
        self._replicas = {artifact: [] for artifact in self.artifacts}
        for server in self.staying:
            for artifact in sorted(server.ready | server.coming):
                if self._counts(server, artifact):
                    self._replicas[artifact].append(server)
            for artifact in server.ready:
                self._ready.setdefault(artifact, []).append(server)
        yield None
        for number, artifact in enumerate(self.artifacts):
            self._place(artifact)
            if number % _PLACED_IN_SLICE == _PLACED_IN_SLICE - 1:
                yield None

    def rebalance(self) -> None:
        """Spread each artifact's load again, beside that of the others."""
        for artifact, replicas in self._replicas.items():
            if len(replicas) > 1 and self.needs[artifact] > 0.0:
                self._lift(artifact)
                self._place(artifact)

    def replicas(self, artifact: str) -> list[ServerPlan]:
        """Return staying servers where it is ready or will be."""
        return self._replicas.get(artifact, [])

    def ready(self, artifact: str) -> list[ServerPlan]:
        """Return staying servers where it can serve now."""
        return self._ready.get(artifact, [])

    def ready_anywhere(self, artifact: str) -> bool:
        """Return whether any server, leaving ones too, can serve it."""
        return any(artifact in server.ready for server in self.servers)

    def predecessor(self, artifact: str) -> str:
        """Return the version that an artifact replaces, if any."""
        return self._predecessors.get(artifact, '')

    def sits_right(self, server: ServerPlan, base: str) -> bool:
        """Return whether an adapter there can only sit on this base."""
        predecessor = self.predecessor(base)
        return not predecessor or not server.holds(predecessor)

    def placed(self, artifact: str) -> list[float]:
        """Return the load on each of ``replicas``."""
        return self._placed.get(artifact, [])

    def add(self, server: ServerPlan, artifact: str) -> None:
        """Plan a load."""
        self._lift(artifact)
        server.coming.add(artifact)
        server.free -= self.artifacts[artifact].memory_bytes
        self._replicas[artifact].append(server)
        self._place(artifact)

    def remove(self, server: ServerPlan, artifact: str) -> None:
        """Plan an unload; its memory counts as used until confirmed."""
        server.ready.discard(artifact)
        if server.leaving:
            return
        self._ready[artifact].remove(server)
        if server not in self._replicas.get(artifact, ()):
            return
        self._lift(artifact)
        self._replicas[artifact].remove(server)
        self._place(artifact)

    def _counts(self, server: ServerPlan, artifact: str) -> bool:
        """Return whether a declared artifact there is of lasting use."""
        item = self.artifacts.get(artifact)
        if item is None:
            return False
        if not item.base:
            return True
        has_base = item.base in server.ready or item.base in server.coming
        return has_base and self.sits_right(server, item.base)

    def _lift(self, artifact: str) -> None:
        """Take an artifact's load off its servers."""
        replicas = self._replicas[artifact]
        for server, load in zip(replicas, self._placed.get(artifact, [])):
            server.load -= load
        self._placed[artifact] = []

    def _place(self, artifact: str) -> None:
        """Put an artifact's load on its servers."""
        replicas = self._replicas[artifact]
        if not replicas:
            return
        loads = [server.load for server in replicas]
        speeds = [server.speed for server in replicas]
        shares = split(self.needs[artifact], loads, speeds)
        self._placed[artifact] = shares
        for server, load in zip(replicas, shares):
            server.load += load
