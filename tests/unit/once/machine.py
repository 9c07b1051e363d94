"""Claims under all faults at once, against an oracle that counts runs."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from hypothesis import stateful
from hypothesis import strategies

from dogwoodquay.external import api as external_api
from dogwoodquay.once import api
from dogwoodquay.once import claimant
from dogwoodquay.once import entries
from dogwoodquay.once import keys
from dogwoodquay.once import table

from . import samples

INSTANCES = 2
CALLERS = ('lakeshore', 'gulf')
BODIES = (b'a' * 16, b'b' * 16)

Name = tuple[str, str]


KEYS = tuple(samples.make_key(n, samples.START - 60.0 * n) for n in range(2))


@dataclasses.dataclass(eq=False)
class Attempt:
    """A caller's attempt, and the entry whose verdict it waits for.

    ``hopeless`` attempts began after the outcome was told to be unknown.
    """

    name: Name
    body: bytes
    hopeless: bool
    entry_id: str = ''


class Process:
    """One process of an instance; a crash makes another."""

    def __init__(self, world: ClaimMachine, number: int, boot: int) -> None:
        self.instance = f'instance-{number}'
        self.boot = boot
        self.table = table.ClaimTable()
        self.claimant = claimant.Claimant(
            self.instance,
            boot,
            self.table,
            lambda instance, boot: (instance, boot) in world.dead,
            world.new_id,
        )
        self.attempts: dict[str, Attempt] = {}
        self.granted: list[api.Claim] = []
        self.sent: list[api.Claim] = []


NAMES = (
    (CALLERS[0], KEYS[0]),
    (CALLERS[0], KEYS[1]),
    (CALLERS[1], KEYS[0]),
)
OFTEN_BODIES = (*BODIES[:1], *BODIES)

CARRIED = ('land', 'again', 'lose', 'read', 'all')
ENDS = ('send', 'settle', 'lose', 'withdraw')
FAULTS = ('suspect', 'crash', 'restore', 'late')
AGES = ('pass', 'horizon', 'trim')
MINUTES = (0, 2, 12)
indexes = strategies.integers(0, 7)
processes = strategies.integers(0, INSTANCES - 1)
names = strategies.sampled_from(NAMES)
bodies = strategies.sampled_from(OFTEN_BODIES)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Processes share a log; entries in flight land late, twice or never."""

    def __init__(self) -> None:
        super().__init__()
        self._ids = itertools.count()
        self.now = samples.START
        self.dead: set[tuple[str, int]] = set()
        self.log: list[external_api.LogEntry] = []
        self.first_offset = 0
        self.flying: list[entries.ClaimEntry] = []
        self.runs: collections.Counter[Name] = collections.Counter()
        self.answers: dict[Name, int] = {}
        self.ran: set[str] = set()
        self.bodies: dict[Name, set[bytes]] = collections.defaultdict(set)
        self.refused: set[str] = set()
        self.doubled: set[str] = set()
        self.never: set[Name] = set()
        self.unknown: set[Name] = set()
        self.processes = [Process(self, n, 1) for n in range(INSTANCES)]

    def new_id(self) -> str:
        """Return an id that is unique in this run."""
        return f'id-{next(self._ids)}'

    @stateful.rule(
        process=processes,
        name=names,
        body=bodies,
        steps=strategies.integers(1, 4),
    )
    def serve(self, process: int, name: Name, body: bytes, steps: int) -> None:
        """A request goes its way without faults, up to some step."""
        self.begin(process, name, body)
        for _ in range(3):
            self.catch_up(process)
        if steps > 1:
            self.send(process, -1)
        if steps > 2:
            self.settle(process, lost=False)
        if steps > 3:
            self.catch_up(process)

    @stateful.rule(process=processes, name=names, body=bodies)
    def begin(self, process: int, name: Name, body: bytes) -> None:
        """A caller tries at some instance."""
        subject = self._process(process)
        caller, key = name
        attempt = Attempt(name, body, name in self.unknown)
        attempt_id, decision = subject.claimant.begin(
            caller, key, body, self.now + 1e9, self.now
        )
        self.bodies[name].add(body)
        subject.attempts[attempt_id] = attempt
        self._decide(subject, attempt_id, decision)

    @stateful.rule(
        process=processes,
        kind=strategies.sampled_from(CARRIED),
        index=indexes,
    )
    def carry(self, process: int, kind: str, index: int) -> None:
        """Something of what is in flight arrives, or is lost."""
        match kind:
            case 'land':
                self.land(index, again=False)
            case 'again':
                self.land(index, again=True)
            case 'lose':
                self.lose(index)
            case 'read':
                self.read(process, index)
            case _:
                self.catch_up(process)

    @stateful.rule(
        process=processes,
        kind=strategies.sampled_from(ENDS),
    )
    def proceed(self, process: int, kind: str) -> None:
        """A claimant goes on with a request, or an attempt ends."""
        match kind:
            case 'send':
                self.send(process, -1)
            case 'settle':
                self.settle(process, lost=False)
            case 'lose':
                self.settle(process, lost=True)
            case _:
                self.withdraw(process)

    @stateful.rule(
        process=processes,
        kind=strategies.sampled_from(FAULTS),
    )
    def disturb(self, process: int, kind: str) -> None:
        """Something happens to an instance."""
        match kind:
            case 'suspect':
                self.suspect(process)
            case 'crash':
                self.crash(process)
            case 'restore':
                self.restore(process, process + 1)
            case _:
                self.give_up(process)

    @stateful.rule(
        kind=strategies.sampled_from(AGES),
        minutes=strategies.sampled_from(MINUTES),
    )
    def age(self, kind: str, minutes: int) -> None:
        """Time goes on, a horizon is proposed, or the log is trimmed."""
        match kind:
            case 'pass':
                self.pass_time(minutes)
            case 'horizon':
                self.move_horizon(60.0 * minutes)
            case _:
                self.trim()

    def land(self, index: int, again: bool) -> None:
        """An append takes effect; it may be retried and land once more."""
        if self.flying:
            index %= len(self.flying)
            entry = self.flying[index]
            if again:
                self.doubled.add(entry.entry_id)
            else:
                del self.flying[index]
            self._append(entry)

    def lose(self, index: int) -> None:
        """An append never takes effect; withdrawals are appended again."""
        if self.flying:
            index %= len(self.flying)
            if not isinstance(self.flying[index], entries.Withdrawn):
                del self.flying[index]

    def read(self, process: int, count: int) -> None:
        """An instance reads on, as far as the log still goes."""
        subject = self._process(process)
        for _ in range(count):
            offset = subject.table.offset + 1
            if offset < self.first_offset:
                offset = self.first_offset - 1
                subject.table.apply(external_api.LogEntry(offset, 0.0, b''))
            elif offset < len(self.log):
                self._apply(subject, self.log[offset])

    def catch_up(self, process: int) -> None:
        """What is in flight lands, and an instance reads all of it."""
        flying, self.flying = self.flying, []
        for entry in flying:
            self._append(entry)
        self.read(process, len(self.log) + 1)

    def send(self, process: int, index: int) -> None:
        """A claimant sends the request, and the upstream runs it."""
        subject = self._process(process)
        if subject.granted:
            claim = subject.granted.pop(index % len(subject.granted))
            name = (claim.caller, claim.key)
            self.runs[name] += 1
            self.ran.add(claim.claim_id)
            self.answers[name] = 200 + len(self.ran)
            subject.sent.append(claim)

    def settle(self, process: int, lost: bool) -> None:
        """A claimant records its answer, or that the answer was lost."""
        subject = self._process(process)
        if subject.sent:
            claim = subject.sent.pop()
            status = self.answers[(claim.caller, claim.key)]
            answer = None if lost else api.StoredAnswer(status, (), b'')
            entry = subject.claimant.settlement(claim, answer)
            self.flying.append(entry)

    def withdraw(self, process: int) -> None:
        """A claimant ends a granted claim without having sent it."""
        subject = self._process(process)
        if subject.granted:
            claim = subject.granted.pop()
            self.refused.add(claim.claim_id)
            self.flying.append(subject.claimant.withdrawal(claim))

    def give_up(self, process: int) -> None:
        """An attempt's deadline passes."""
        subject = self._process(process)
        if subject.attempts:
            self._give_up(subject, next(iter(subject.attempts)))

    def suspect(self, process: int) -> None:
        """A process is held to be dead, rightly or not."""
        subject = self._process(process)
        self.dead.add((subject.instance, subject.boot))

    def crash(self, process: int) -> None:
        """A process dies and another takes its place with nothing."""
        number = process % INSTANCES
        boot = self.processes[number].boot + 1
        self.processes[number] = Process(self, number, boot)

    def restore(self, process: int, source: int) -> None:
        """An instance takes over a snapshot that covers more."""
        subject, other = self._process(process), self._process(source)
        if other.table.offset > subject.table.offset:
            subject.table.restore(other.table.snapshot())

    def pass_time(self, minutes: int) -> None:
        """The time of the log and of all instances goes on."""
        self.now += 60.0 * minutes

    def move_horizon(self, back: float) -> None:
        """Some instance, perhaps with a fast clock, proposes a horizon."""
        below = int((self.now - back) * 1000)
        entry_id = self.new_id()
        self.flying.append(
            entries.HorizonRaised(entry_id=entry_id, below_ms=below)
        )

    def trim(self) -> None:
        """The log's retention ends for what it holds."""
        self.first_offset = len(self.log)

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No request runs twice, and none that was told not to have run."""
        for name, count in self.runs.items():
            assert count <= 1, f'ran twice: {name}'
            assert not (count and name in self.never), f'false not run: {name}'
        assert not self.refused & self.ran, 'ran after its end was told'

    def teardown(self) -> None:
        """Given up claims lock nobody out once all is read."""
        for subject in self.processes:
            for attempt_id in list(subject.attempts):
                self._give_up(subject, attempt_id)
        for entry in self.flying:
            self._append(entry)
        if self.first_offset:
            return
        reader = table.ClaimTable()
        for entry in self.log:
            reader.apply(entry)
        for caller, key in itertools.product(CALLERS, KEYS):
            found = keys.key_id(caller, key)
            assert found is not None
            status = reader.status(found)
            if isinstance(status, table.OpenClaim):
                assert status.claim_id not in self.refused, 'locked out'

    def _process(self, index: int) -> Process:
        return self.processes[index % INSTANCES]

    def _give_up(self, subject: Process, attempt_id: str) -> None:
        decision = subject.claimant.give_up(attempt_id, True, self.now)
        self._decide(subject, attempt_id, decision)

    def _append(self, entry: entries.ClaimEntry) -> None:
        payload = entries.CODEC.encode((entry,))
        offset = len(self.log)
        record = external_api.LogEntry(offset, self.now, payload)
        self.log.append(record)

    def _apply(self, subject: Process, record: external_api.LogEntry) -> None:
        for verdict in subject.table.apply(record):
            for attempt_id, attempt in list(subject.attempts.items()):
                if attempt.entry_id == verdict.entry_id:
                    decision = subject.claimant.decided(
                        attempt_id,
                        verdict.valid,
                        self.now,
                        verdict.entry_id in self.doubled,
                    )
                    self._decide(subject, attempt_id, decision)

    def _decide(
        self,
        subject: Process,
        attempt_id: str,
        decision: claimant.Decision,
    ) -> None:
        self.flying += subject.claimant.take_withdrawals()
        attempt = subject.attempts[attempt_id]
        if isinstance(decision, claimant.Append):
            attempt.entry_id = decision.entry.entry_id
            self.flying.append(decision.entry)
            return
        del subject.attempts[attempt_id]
        self._told(subject, attempt_id, attempt, decision)

    def _told(
        self,
        subject: Process,
        attempt_id: str,
        attempt: Attempt,
        answer: api.ClaimAnswer,
    ) -> None:
        name = attempt.name
        if not isinstance(answer, api.Granted):
            self.refused.add(attempt_id)
        match answer:
            case api.Granted(claim):
                assert (claim.caller, claim.key) == name, 'crossed'
                allowed = self.first_offset or not attempt.hopeless
                assert allowed, 'freed'
                subject.granted.append(claim)
            case api.KeyRefused(_, _, attempt_only):
                if not attempt_only:
                    self.never.add(name)
            case api.Known(known):
                assert self.runs[name] == 1, 'false answer'
                assert known.status == self.answers[name], 'false answer'
            case api.Unknown():
                self.unknown.add(name)
            case api.Conflict():
                assert len(self.bodies[name]) > 1, 'false conflict'
