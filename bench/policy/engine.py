"""A model engine on a virtual clock: prefill in turn, decode in a batch."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import typing

if typing.TYPE_CHECKING:
    from collections import abc

PREFILL_TOKENS_PER_SECOND = 8000.0
REQUEST_TOKENS = 50
TOKEN_SECONDS = 0.04
BATCH_LIMIT = 64
FREE_BATCH = 40
FULL_BATCH = 80
CACHE_BLOCKS = 600


@dataclasses.dataclass(slots=True)
class Request:
    """A request of the workload, with what became of it."""

    request_id: str
    arrival: float
    artifact: str
    caller: str
    prompt: int
    output: int
    priority: int
    deadline: float
    hashes: tuple[int, ...]
    instance: int = 0
    attempts: int = 0
    first_token: float = 0.0
    reason: str = ''
    avoid_servers: frozenset[str] = frozenset()
    avoid_domains: frozenset[str] = frozenset()


class Engine:
    """One server; ``at`` schedules a call, ``world`` hears of the results."""

    def __init__(
        self,
        server_id: str,
        domain: str,
        capacity: int,
        at: abc.Callable[..., None],
        world: typing.Any,
    ) -> None:
        self.server_id = server_id
        self.domain = domain
        self.capacity = capacity
        self.speed = 1.0
        self.alive = True
        self.ready: set[str] = set()
        self.possible: dict[str, int] = {}
        self.incarnation = 0
        self.batch = 0
        self.events: list[tuple[int, bool]] = []
        self.sequence = 0
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._at = at
        self._world = world
        self._queue: list[tuple[int, int, Request]] = []
        self._order = 0
        self._busy: Request | None = None
        self._decoding: dict[str, Request] = {}

    @property
    def queued(self) -> int:
        """Requests without a first token."""
        return len(self._queue) + (self._busy is not None)

    def submit(self, request: Request, now: float) -> bool:
        """Take a request unless dead or without its artifact."""
        if not self.alive or request.artifact not in self.ready:
            return False
        self._order += 1
        entry = (-request.priority, self._order, request)
        heapq.heappush(self._queue, entry)
        self._next(now)
        return True

    def kill(self, now: float) -> None:
        """Lose everything in memory and all requests."""
        self.alive = False
        self.incarnation += 1
        lost = [entry[2] for entry in self._queue]
        if self._busy is not None:
            lost.append(self._busy)
        decoding = list(self._decoding.values())
        self._queue, self._busy, self._decoding = [], None, {}
        self.batch = 0
        self.ready, self.possible = set(), {}
        self.cache.clear()
        self.events, self.sequence = [], 0
        for request in lost + decoding:
            self._world.broken(request, self, now)

    def _next(self, now: float) -> None:
        while self._queue and self._busy is None:
            if self.batch >= BATCH_LIMIT:
                return
            request = heapq.heappop(self._queue)[2]
            if request.deadline < now:
                self._world.expired(request, now)
                continue
            self._busy = request
            shared = 1.0 - min(0.75, self.batch / FULL_BATCH)
            rate = PREFILL_TOKENS_PER_SECOND * shared * self.speed
            seconds = (self._uncached(request) + REQUEST_TOKENS) / rate
            self._at(now + seconds, self._prefilled, self.incarnation)

    def _prefilled(self, now: float, incarnation: int) -> None:
        if incarnation != self.incarnation or self._busy is None:
            return
        request, self._busy = self._busy, None
        self._remember(request)
        self.batch += 1
        self._decoding[request.request_id] = request
        self._world.first_token(request, now)
        crowded = max(1.0, self.batch / FREE_BATCH)
        seconds = request.output * TOKEN_SECONDS * crowded / self.speed
        self._at(now + seconds, self._finish, request, incarnation)
        self._next(now)

    def _finish(self, now: float, request: Request, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.batch -= 1
        del self._decoding[request.request_id]
        self._world.finished(request, now)
        self._next(now)

    def _uncached(self, request: Request) -> float:
        found = 0
        for block in request.hashes:
            if block not in self.cache:
                break
            found += 1
        share = found / len(request.hashes) if request.hashes else 0.0
        return request.prompt * (1.0 - share)

    def _remember(self, request: Request) -> None:
        for block in request.hashes:
            if block not in self.cache:
                self.events.append((block, True))
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            block, _ = self.cache.popitem(last=False)
            self.events.append((block, False))
