"""Replays load at several instances that share one pool, in steps."""

from __future__ import annotations

import collections
import dataclasses
import random
import typing

from dogwoodquay.fleet import choice
from dogwoodquay.fleet import queue
from dogwoodquay.overload import admission
from dogwoodquay.overload import api
from dogwoodquay.overload import backlog
from dogwoodquay.overload import order
from dogwoodquay.overload import returns

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Class', 'Counts', 'Replay']

POOL: typing.Final = api.Pool('pool')
STEP_SECONDS: typing.Final = 0.01
VIEW_SECONDS: typing.Final = 0.1


class Class(typing.NamedTuple):
    """Requests of one kind; ``rate`` is per second at a time."""

    name: str
    priority: int
    objective: float
    seconds: float
    work: float
    rate: abc.Callable[[float], float]


class Counts(typing.NamedTuple):
    """The outcomes of requests, those lost include the refused."""

    on_time: int = 0
    late: int = 0
    lost: int = 0
    lost_waiting: int = 0


@dataclasses.dataclass(slots=True)
class _Job:
    kind: Class
    arrived_at: float
    identity: str
    tries: int = 1
    first_at: float = 0.0


class _Instance:
    def __init__(self, name: str) -> None:
        self.name = name
        self.queue = queue.RequestQueue()
        self.pool = backlog.PoolBacklog()
        self.order = order.FeasibleOrder()
        self.plan = returns.ReturnPlan()
        self.turns = returns.Turns()

    def waiting(self, now: float) -> dict[int, tuple[int, int]]:
        """Return the requests on time and the late ones by priority."""
        found: dict[int, tuple[int, int]] = {}
        for item in self.queue.tickets:
            on_time, late = found.get(item.priority, (0, 0))
            is_late = now > item.objective_at
            found[item.priority] = (on_time + (not is_late), late + is_late)
        return found


class Replay:
    """A pool of ``slots`` servers; ``control`` is off for today's rules."""

    def __init__(
        self,
        classes: tuple[Class, ...],
        control: bool,
        slots: abc.Callable[[float], int] = lambda _: 24,
        instances: int = 6,
        views: abc.Callable[[float], bool] | bool = True,
        repeats: int = 1,
        hasty: float = 0.0,
        false_figures: api.Figures | None = None,
    ) -> None:
        self._rng = random.Random(7)
        self._classes = classes
        self._control = control
        self._slots = slots
        self._views = views if callable(views) else lambda _: views
        self._repeats = repeats
        self._hasty = hasty
        self._false = false_figures
        self._instances = [_Instance(f'i{n}') for n in range(instances)]
        self._totals = backlog.Totals()
        self._owner_turns = returns.Turns()
        self._running: list[tuple[float, _Job, _Instance]] = []
        self._jobs: dict[int, _Job] = {}
        self._coming: list[tuple[float, _Job]] = []
        self._number = 0
        self._now = 0.0
        self.counts: dict[str, Counts] = collections.defaultdict(Counts)
        self.queued: list[tuple[float, int]] = []

    def run(self, seconds: float) -> dict[str, Counts]:
        """Replay and return the outcomes by class."""
        for step in range(round(seconds / STEP_SECONDS)):
            self._now = step * STEP_SECONDS
            self._end_running()
            if step % round(VIEW_SECONDS / STEP_SECONDS) == 0:
                self._exchange()
            self._new_jobs()
            due = [job for at, job in self._coming if at <= self._now]
            self._coming = [
                item for item in self._coming if item[0] > self._now
            ]
            for job in due:
                self._arrive(job)
            for item in self._instances:
                self._assign(item)
            waiting = sum(len(item.queue) for item in self._instances)
            self.queued.append((self._now, waiting))
        return self.counts

    def _new_jobs(self) -> None:
        for kind in self._classes:
            rate = kind.rate(self._now) * STEP_SECONDS
            for _ in range(int(rate + self._rng.random())):
                identity = f'{self._rng.getrandbits(96):024x}'
                tries = self._repeats + 1
                job = _Job(kind, self._now, identity, tries, self._now)
                self._coming.append((self._now, job))

    def waiting_at(self, now: float) -> int:
        """Return how many requests waited at a time."""
        return self.queued[round(now / STEP_SECONDS)][1]

    def _free(self) -> int:
        return max(0, self._slots(self._now) - len(self._running))

    def _state(self, item: _Instance) -> backlog.State:
        return item.pool.state(
            item.waiting(self._now), self._free(), self._now
        )

    def _arrive(self, job: _Job) -> None:
        now, kind = self._now, job.kind
        item = self._rng.choice(self._instances)
        job.arrived_at, job.tries = now, job.tries - 1
        deadline = job.first_at + kind.seconds
        item.pool.on_arrival(kind.priority, now)
        objective_at = now + kind.objective
        until = now + (deadline - now) * 0.5
        in_turn = False
        if self._control:
            objective_at -= kind.work
            turn = item.turns.take(job.identity, now)
            if turn is not None and now >= turn.begins_at:
                in_turn = True
                objective_at = turn.objective_at - kind.work
            request = api.Request(
                kind.priority, objective_at, deadline - kind.work, in_turn
            )
            match admission.decide(request, self._state(item), now):
                case api.Refuse():
                    self._refuse(job, item, waited=False)
                    return
                case api.Wait(until, on_time):
                    if not on_time:
                        objective_at = min(objective_at, now - 1e-6)
                case api.Admit():
                    until = request.latest_start
        self._number += 1
        self._jobs[self._number] = job
        item.queue.add(
            queue.Ticket(
                self._number,
                kind.priority,
                objective_at,
                until,
                now,
                choice.Need(POOL.service),
                in_turn,
            )
        )

    def _assign(self, item: _Instance) -> None:
        now = self._now
        for ticket in item.queue.expired(now):
            self._refuse(self._jobs[ticket.number], item, waited=True)
        rank = None
        if self._control:
            rank = item.order.rank(item.queue.tickets, now)
            ranked = sorted(item.queue.tickets, key=rank)
            requests = [
                (
                    t,
                    api.Request(t.priority, t.objective_at, t.wait_deadline),
                )
                for t in ranked
            ]
            for ticket in admission.overdue(requests, self._state(item), now):
                item.queue.discard(ticket.number)
                self._refuse(self._jobs[ticket.number], item, waited=True)
        free = self._free()
        taken: list[int] = []

        def choose(_: choice.Need) -> int | None:
            return 1 if len(taken) < free else None

        if rank is not None:
            rank = self._yielding(rank, item)
        assigned = item.queue.assign(choose, now, taken.append, rank)
        tickets = [ticket for ticket, _ in assigned]
        item.order.on_assigned(tickets, item.queue.tickets, now)
        for ticket in tickets:
            job = self._jobs.pop(ticket.number)
            item.pool.on_started()
            end = now + job.kind.work * self._rng.uniform(0.7, 1.3)
            self._running.append((end, job, item))
        self._rng.shuffle(self._instances)

    def _yielding(
        self, rank: abc.Callable[[queue.Ticket], order.Rank], item: _Instance
    ) -> abc.Callable[[queue.Ticket], order.Rank | None]:
        state = self._state(item)

        def yielding(ticket: queue.Ticket) -> order.Rank | None:
            key = rank(ticket)
            late, priority, *_ = key
            return None if admission.yields(late, priority, state) else key

        return yielding

    def _end_running(self) -> None:
        now = self._now
        gone = len(self._running) - self._slots(now)
        for _, job, item in self._running[: max(0, gone)]:
            item.pool.on_ended()
            self._count(job, lost=1)
        self._running = self._running[max(0, gone) :]
        for end, job, item in self._running:
            if end > now:
                continue
            item.pool.on_ended()
            item.pool.on_completed(job.kind.work, now)
            took = end - job.first_at
            in_time = took <= job.kind.objective
            if took > job.kind.seconds:
                self._count(job, lost=1)
            else:
                self._count(job, on_time=in_time, late=not in_time)
        self._running = [run for run in self._running if run[0] > now]

    def _refuse(self, job: _Job, item: _Instance, waited: bool) -> None:
        now, kind = self._now, job.kind
        left = job.first_at + kind.seconds - now
        pause: float | None = 0.4
        if self._control:
            state = self._state(item)
            if state.drain is not None:
                rows = (*state.own, *state.others)
                ahead = admission.late_backlog(kind.priority, rows)
                pause = item.plan.seconds(
                    POOL,
                    state.drain / len(self._instances),
                    state.seconds(ahead, 0.0),
                    left,
                    kind.work,
                    now,
                )
                if pause is not None:
                    turn = returns.Turn(
                        now + pause,
                        now + pause + kind.objective,
                        job.first_at + kind.objective,
                    )
                    item.turns.add(job.identity, turn)
        if pause is None or not job.tries or left < kind.work:
            self._count(job, lost=1, lost_waiting=int(waited))
            return
        if self._rng.random() < self._hasty:
            pause = 0.0
        elif job.tries < self._repeats - 1:
            # Only hasty callers repeat more than once.
            self._count(job, lost=1, lost_waiting=int(waited))
            return
        self._coming.append((now + min(pause, left / 3), job))

    def _exchange(self) -> None:
        if not self._views(self._now):
            return
        now = self._now
        for item in self._instances:
            own = item.pool.own(item.waiting(now), now)
            if self._false and item.name == 'i0':
                own = self._false
            self._totals.on_load(item.name, {POOL: own}, now)
            self._owner_turns.on_load(item.turns.load_rows(now), now)
        for item in self._instances:
            others = self._totals.others(item.name, now)
            if POOL in others:
                item.pool.on_others(others[POOL], now)
            item.turns.on_view(
                self._owner_turns.view_rows(item.name, now), now
            )

    def _count(self, job: _Job, **added: int) -> None:
        old = self.counts[job.kind.name]._asdict()
        self.counts[job.kind.name] = Counts(
            **{name: old[name] + added.get(name, 0) for name in old}
        )
