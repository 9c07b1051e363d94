"""A simulated engine: sequential prefill, batched decoding."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import typing

if typing.TYPE_CHECKING:
    from collections import abc

PREFILL_TOKENS_PER_SECOND = 8000.0
REQUEST_OVERHEAD_TOKENS = 50
TOKEN_SECONDS = 0.04
BATCH_LIMIT = 64
FULL_SPEED_BATCH = 40
# Prefill slows down linearly with the batch, to a quarter at most; without
# that limit it would stop at this size.
PREFILL_SLOWDOWN_BATCH = 80
CACHE_BLOCKS = 600


@dataclasses.dataclass(slots=True)
class Request:
    """A request of the workload, with its progress and outcome."""

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
    avoid_failure_domains: frozenset[str] = frozenset()


class Engine:
    """One server in virtual time.

    ``schedule`` schedules a call; ``world`` is notified of results.
    """

    def __init__(
        self,
        server_id: str,
        failure_domain: str,
        capacity: int,
        schedule: abc.Callable[..., None],
        world: typing.Any,
    ) -> None:
        self.server_id = server_id
        self.failure_domain = failure_domain
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
        self._schedule = schedule
        self._world = world
        self._queue: list[tuple[int, int, Request]] = []
        self._submitted_count = 0
        self._prefilling: Request | None = None
        self._decoding: dict[str, Request] = {}

    @property
    def queued(self) -> int:
        """The number of requests without a first token."""
        return len(self._queue) + (self._prefilling is not None)

    def submit(self, request: Request, now: float) -> bool:
        """Accept a request if the engine runs and its artifact is ready."""
        if not self.alive or request.artifact not in self.ready:
            return False
        self._submitted_count += 1
        entry = (-request.priority, self._submitted_count, request)
        heapq.heappush(self._queue, entry)
        self._start_prefill(now)
        return True

    def kill(self, now: float) -> None:
        """Stop the engine; it loses its memory and all requests."""
        self.alive = False
        self.incarnation += 1
        lost = [entry[2] for entry in self._queue]
        if self._prefilling is not None:
            lost.append(self._prefilling)
        decoding = list(self._decoding.values())
        self._queue, self._prefilling, self._decoding = [], None, {}
        self.batch = 0
        self.ready, self.possible = set(), {}
        self.cache.clear()
        self.events, self.sequence = [], 0
        for request in lost + decoding:
            self._world.on_broken(request, self, now)

    def _start_prefill(self, now: float) -> None:
        while self._queue and self._prefilling is None:
            if self.batch >= BATCH_LIMIT:
                return
            request = heapq.heappop(self._queue)[2]
            if request.deadline < now:
                self._world.on_expired(request, now)
                continue
            self._prefilling = request
            prefill_share = 1.0 - min(
                0.75, self.batch / PREFILL_SLOWDOWN_BATCH
            )
            rate = PREFILL_TOKENS_PER_SECOND * prefill_share * self.speed
            seconds = (
                self._uncached(request) + REQUEST_OVERHEAD_TOKENS
            ) / rate
            self._schedule(now + seconds, self._on_prefilled, self.incarnation)

    def _on_prefilled(self, now: float, incarnation: int) -> None:
        if incarnation != self.incarnation or self._prefilling is None:
            return
        request, self._prefilling = self._prefilling, None
        self._update_cache(request)
        self.batch += 1
        self._decoding[request.request_id] = request
        self._world.on_first_token(request, now)
        slowdown = max(1.0, self.batch / FULL_SPEED_BATCH)
        seconds = request.output * TOKEN_SECONDS * slowdown / self.speed
        self._schedule(now + seconds, self._on_decoded, request, incarnation)
        self._start_prefill(now)

    def _on_decoded(
        self, now: float, request: Request, incarnation: int
    ) -> None:
        if incarnation != self.incarnation:
            return
        self.batch -= 1
        del self._decoding[request.request_id]
        self._world.on_finished(request, now)
        self._start_prefill(now)

    def _uncached(self, request: Request) -> float:
        cached_blocks = 0
        for block in request.hashes:
            if block not in self.cache:
                break
            cached_blocks += 1
        share = cached_blocks / len(request.hashes) if request.hashes else 0.0
        return request.prompt * (1.0 - share)

    def _update_cache(self, request: Request) -> None:
        for block in request.hashes:
            if block not in self.cache:
                self.events.append((block, True))
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            block, _ = self.cache.popitem(last=False)
            self.events.append((block, False))
