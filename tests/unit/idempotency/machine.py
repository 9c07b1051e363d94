"""A state machine that checks claims under faults with an oracle of runs."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from hypothesis import stateful
from hypothesis import strategies

from dogwoodquay.external import api as external_api
from dogwoodquay.idempotency import api
from dogwoodquay.idempotency import claimant
from dogwoodquay.idempotency import entries
from dogwoodquay.idempotency import keys
from dogwoodquay.idempotency import table

from . import samples

INSTANCES = 2
CALLERS = ('lakeshore', 'gulf')
BODIES = (b'a' * 16, b'b' * 16)

CallerKey = tuple[str, str]


KEYS = tuple(samples.make_key(n, samples.START - 60.0 * n) for n in range(2))


@dataclasses.dataclass(eq=False)
class Attempt:
    """A caller's attempt, and the entry whose verdict it waits for.

    ``began_unknown`` is set if an earlier attempt with the key was answered
    with an unknown outcome.
    """

    caller_key: CallerKey
    body: bytes
    began_unknown: bool
    entry_id: str = ''


class Process:
    """One process of an instance; a crash replaces it by a new one."""

    def __init__(
        self, machine: ClaimMachine, number: int, incarnation: int
    ) -> None:
        self.instance = f'instance-{number}'
        self.incarnation = incarnation
        self.table = table.ClaimTable()
        self.claimant = claimant.Claimant(
            self.instance,
            incarnation,
            self.table,
            lambda instance, incarnation: (
                (instance, incarnation) in machine.dead
            ),
            machine.new_id,
        )
        self.attempts: dict[str, Attempt] = {}
        self.granted: list[api.Claim] = []
        self.sent: list[api.Claim] = []


CALLER_KEYS = (
    (CALLERS[0], KEYS[0]),
    (CALLERS[0], KEYS[1]),
    (CALLERS[1], KEYS[0]),
)
BODY_CHOICES = (*BODIES[:1], *BODIES)

DELIVERY_KINDS = ('append', 'duplicate', 'lose', 'read', 'catch_up')
REQUEST_STEPS = ('send', 'settle', 'lose', 'withdraw')
FAULT_KINDS = ('declare_dead', 'crash', 'restore', 'give_up')
TIME_CHANGES = ('pass', 'horizon', 'trim')
MINUTES = (0, 2, 12)
indexes = strategies.integers(0, 7)
processes = strategies.integers(0, INSTANCES - 1)
caller_keys = strategies.sampled_from(CALLER_KEYS)
bodies = strategies.sampled_from(BODY_CHOICES)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Processes share a log; appends are delayed, duplicated or lost."""

    def __init__(self) -> None:
        super().__init__()
        self._ids = itertools.count()
        self.now = samples.START
        self.dead: set[tuple[str, int]] = set()
        self.log: list[external_api.LogEntry] = []
        self.first_offset = 0
        self.in_flight: list[entries.ClaimEntry] = []
        self.runs: collections.Counter[CallerKey] = collections.Counter()
        self.answers: dict[CallerKey, int] = {}
        self.ran: set[str] = set()
        self.bodies: dict[CallerKey, set[bytes]] = collections.defaultdict(set)
        self.unsent_claims: set[str] = set()
        self.may_be_duplicated: set[str] = set()
        self.reported_not_run: set[CallerKey] = set()
        self.reported_unknown: set[CallerKey] = set()
        self.processes = [Process(self, n, 1) for n in range(INSTANCES)]

    def new_id(self) -> str:
        """Return an id that is unique in this run."""
        return f'id-{next(self._ids)}'

    @stateful.rule(
        process=processes,
        caller_key=caller_keys,
        body=bodies,
        steps=strategies.integers(1, 4),
    )
    def serve(
        self, process: int, caller_key: CallerKey, body: bytes, steps: int
    ) -> None:
        """A request runs without faults up to some step."""
        self.begin(process, caller_key, body)
        for _ in range(3):
            self.catch_up(process)
        if steps > 1:
            self.send(process, -1)
        if steps > 2:
            self.settle(process, lost=False)
        if steps > 3:
            self.catch_up(process)

    @stateful.rule(process=processes, caller_key=caller_keys, body=bodies)
    def begin(self, process: int, caller_key: CallerKey, body: bytes) -> None:
        """A caller sends a request to an instance."""
        subject = self._process(process)
        caller, key = caller_key
        attempt = Attempt(
            caller_key, body, caller_key in self.reported_unknown
        )
        attempt_id, decision = subject.claimant.begin(
            caller, key, body, self.now + 1e9, self.now
        )
        self.bodies[caller_key].add(body)
        subject.attempts[attempt_id] = attempt
        self._decide(subject, attempt_id, decision)

    @stateful.rule(
        process=processes,
        kind=strategies.sampled_from(DELIVERY_KINDS),
        index=indexes,
    )
    def deliver(self, process: int, kind: str, index: int) -> None:
        """An entry in flight is appended, lost or read."""
        match kind:
            case 'append':
                self.append_in_flight(index, keep_in_flight=False)
            case 'duplicate':
                self.append_in_flight(index, keep_in_flight=True)
            case 'lose':
                self.lose_in_flight(index)
            case 'read':
                self.read(process, index)
            case _:
                self.catch_up(process)

    @stateful.rule(
        process=processes,
        kind=strategies.sampled_from(REQUEST_STEPS),
    )
    def proceed(self, process: int, kind: str) -> None:
        """A claimant sends, settles or withdraws a request."""
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
        kind=strategies.sampled_from(FAULT_KINDS),
    )
    def inject_fault(self, process: int, kind: str) -> None:
        """An instance fails, or one of its attempts times out."""
        match kind:
            case 'declare_dead':
                self.declare_dead(process)
            case 'crash':
                self.crash(process)
            case 'restore':
                self.restore(process, process + 1)
            case _:
                self.give_up(process)

    @stateful.rule(
        kind=strategies.sampled_from(TIME_CHANGES),
        minutes=strategies.sampled_from(MINUTES),
    )
    def advance_time(self, kind: str, minutes: int) -> None:
        """Time passes, a horizon is proposed, or the log is trimmed."""
        match kind:
            case 'pass':
                self.pass_time(minutes)
            case 'horizon':
                self.propose_horizon(60.0 * minutes)
            case _:
                self.trim()

    def append_in_flight(self, index: int, keep_in_flight: bool) -> None:
        """An append takes effect; if kept in flight, it may do so again."""
        if self.in_flight:
            index %= len(self.in_flight)
            entry = self.in_flight[index]
            if keep_in_flight:
                self.may_be_duplicated.add(entry.entry_id)
            else:
                del self.in_flight[index]
            self._append(entry)

    def lose_in_flight(self, index: int) -> None:
        """An append is lost, except for withdrawals, which are retried."""
        if self.in_flight:
            index %= len(self.in_flight)
            if not isinstance(self.in_flight[index], entries.Withdrawn):
                del self.in_flight[index]

    def read(self, process: int, count: int) -> None:
        """An instance reads a number of records, or skips trimmed ones."""
        subject = self._process(process)
        for _ in range(count):
            offset = subject.table.offset + 1
            if offset < self.first_offset:
                offset = self.first_offset - 1
                subject.table.apply(external_api.LogEntry(offset, 0.0, b''))
            elif offset < len(self.log):
                self._apply(subject, self.log[offset])

    def catch_up(self, process: int) -> None:
        """All entries in flight are appended, and an instance reads them."""
        in_flight, self.in_flight = self.in_flight, []
        for entry in in_flight:
            self._append(entry)
        self.read(process, len(self.log) + 1)

    def send(self, process: int, index: int) -> None:
        """A claimant sends its request, and the upstream runs it."""
        subject = self._process(process)
        if subject.granted:
            claim = subject.granted.pop(index % len(subject.granted))
            caller_key = (claim.caller, claim.key)
            self.runs[caller_key] += 1
            self.ran.add(claim.claim_id)
            self.answers[caller_key] = 200 + len(self.ran)
            subject.sent.append(claim)

    def settle(self, process: int, lost: bool) -> None:
        """A claimant records its answer, or the loss of the answer."""
        subject = self._process(process)
        if subject.sent:
            claim = subject.sent.pop()
            status = self.answers[(claim.caller, claim.key)]
            answer = None if lost else api.StoredAnswer(status, (), b'')
            entry = subject.claimant.settlement(claim, answer)
            self.in_flight.append(entry)

    def withdraw(self, process: int) -> None:
        """A claimant withdraws a granted claim that it did not send."""
        subject = self._process(process)
        if subject.granted:
            claim = subject.granted.pop()
            self.unsent_claims.add(claim.claim_id)
            self.in_flight.append(subject.claimant.withdrawal(claim))

    def give_up(self, process: int) -> None:
        """An attempt's deadline passes."""
        subject = self._process(process)
        if subject.attempts:
            self._give_up(subject, next(iter(subject.attempts)))

    def declare_dead(self, process: int) -> None:
        """A process is declared dead, whether it has failed or not."""
        subject = self._process(process)
        self.dead.add((subject.instance, subject.incarnation))

    def crash(self, process: int) -> None:
        """A process crashes and is replaced by one without state."""
        number = process % INSTANCES
        incarnation = self.processes[number].incarnation + 1
        self.processes[number] = Process(self, number, incarnation)

    def restore(self, process: int, source: int) -> None:
        """An instance restores a more recent snapshot of another one."""
        subject, other = self._process(process), self._process(source)
        if other.table.offset > subject.table.offset:
            subject.table.restore(other.table.snapshot())

    def pass_time(self, minutes: int) -> None:
        """The clock of the log and all instances advances."""
        self.now += 60.0 * minutes

    def propose_horizon(self, seconds_ago: float) -> None:
        """An instance, possibly with a fast clock, proposes a horizon."""
        below = int((self.now - seconds_ago) * 1000)
        entry_id = self.new_id()
        self.in_flight.append(
            entries.HorizonRaised(entry_id=entry_id, below_ms=below)
        )

    def trim(self) -> None:
        """The log drops all its records by retention."""
        self.first_offset = len(self.log)

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No request runs twice, or runs after it was reported as not run."""
        for caller_key, count in self.runs.items():
            assert count <= 1, f'ran twice: {caller_key}'
            assert not (count and caller_key in self.reported_not_run), (
                f'wrongly reported as not run: {caller_key}'
            )
        assert not self.unsent_claims & self.ran, (
            'ran after a refusal or withdrawal'
        )

    def teardown(self) -> None:
        """Abandoned claims do not block their keys once all is read."""
        for subject in self.processes:
            for attempt_id in list(subject.attempts):
                self._give_up(subject, attempt_id)
        for entry in self.in_flight:
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
                assert status.claim_id not in self.unsent_claims, (
                    'key stays blocked'
                )

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
                    decision = subject.claimant.on_verdict(
                        attempt_id,
                        verdict.valid,
                        self.now,
                        verdict.entry_id in self.may_be_duplicated,
                    )
                    self._decide(subject, attempt_id, decision)

    def _decide(
        self,
        subject: Process,
        attempt_id: str,
        decision: claimant.Decision,
    ) -> None:
        self.in_flight += subject.claimant.take_withdrawals()
        attempt = subject.attempts[attempt_id]
        if isinstance(decision, claimant.Append):
            attempt.entry_id = decision.entry.entry_id
            self.in_flight.append(decision.entry)
            return
        del subject.attempts[attempt_id]
        self._check_answer(subject, attempt_id, attempt, decision)

    def _check_answer(
        self,
        subject: Process,
        attempt_id: str,
        attempt: Attempt,
        answer: api.ClaimAnswer,
    ) -> None:
        caller_key = attempt.caller_key
        if not isinstance(answer, api.Granted):
            self.unsent_claims.add(attempt_id)
        match answer:
            case api.Granted(claim):
                assert (claim.caller, claim.key) == caller_key, (
                    'claim of another request'
                )
                allowed = self.first_offset or not attempt.began_unknown
                assert allowed, 'granted after an unknown outcome'
                subject.granted.append(claim)
            case api.KeyRefused(_, _, attempt_only):
                if not attempt_only:
                    self.reported_not_run.add(caller_key)
            case api.Known(known):
                assert self.runs[caller_key] == 1, 'wrong answer'
                assert known.status == self.answers[caller_key], 'wrong answer'
            case api.Unknown():
                self.reported_unknown.add(caller_key)
            case api.Conflict():
                assert len(self.bodies[caller_key]) > 1, 'wrong conflict'
