"""Measures takeovers, appends per move, replay and checkpoints."""

from __future__ import annotations

import random
import time
import typing

from dogwoodquay.external import api as external_api
from dogwoodquay.journal import api as journal_api
from dogwoodquay.ledger import core
from dogwoodquay.ledger import entries
from dogwoodquay.ledger import replay
from dogwoodquay.membership import api as membership_api
from dogwoodquay.ownership import core as ownership_core
from dogwoodquay.ownership import entries as ownership_entries
from dogwoodquay.ownership import proposal
from dogwoodquay.placement import api as placement_api
from dogwoodquay.records import api as records_api

_DUTY: typing.Final = 'pool:a'
_CHECK_SECONDS: typing.Final = 0.25
_APPEND_SECONDS: typing.Final = 0.02
_ENTRIES: typing.Final = 20_000
_MEGABYTE: typing.Final = 1_000_000


def _claim(name: str, replaces: int) -> ownership_entries.Claim:
    return ownership_entries.Claim(
        entry_id=f'{name}-{replaces}',
        duty=_DUTY,
        instance_id=name,
        incarnation=1,
        replaces=replaces,
    )


def _entry(offset: int, *items: entries.LedgerEntry) -> external_api.LogEntry:
    return external_api.LogEntry(offset, 0.0, entries.CODEC.encode(items))


class _Takeover(typing.NamedTuple):
    seconds: float
    claims: int


def _simulate_takeover(instances: int, seed: int) -> _Takeover:
    """Simulate a takeover.

    :return: the time from the owner's failure to the next valid claim, and the
        number of claims.
    """
    rng = random.Random(seed)
    names = [f'i{number}' for number in range(instances)]
    boot = 1 << membership_api.REFUTATION_BITS
    members = tuple(
        membership_api.Member(
            name, boot, '', 1, 'd', membership_api.MemberState.LIVE
        )
        for name in names
    )
    owner = proposal.rank_instances(_DUTY, members)[0]
    candidates = tuple(item for item in members if item.instance_id != owner)
    ownership = ownership_core.Ownership(_DUTY, 0, owner, 1)
    proposers = [
        proposal.Proposer(_DUTY, item.instance_id, 1, rng)
        for item in candidates
    ]
    phases = [rng.uniform(0.0, _CHECK_SECONDS) for _ in proposers]
    claimed_at = float('inf')
    claims = 0
    for step in range(200):
        for proposer, phase in zip(proposers, phases, strict=True):
            now = step * _CHECK_SECONDS + phase
            due = proposer.claim_at(ownership, candidates, now) <= now
            if due and now < claimed_at:
                claims += 1
                claimed_at = min(claimed_at, now + _APPEND_SECONDS)
        if claimed_at < step * _CHECK_SECONDS:
            break
    return _Takeover(claimed_at, claims)


def bench_takeover() -> None:
    """Print takeover times, simulated with an injected clock."""
    for instances in (3, 9, 30, 100):
        runs = [_simulate_takeover(instances, seed) for seed in range(20)]
        seconds = sorted(run.seconds for run in runs)
        median = seconds[len(seconds) // 2]
        claims = sum(run.claims for run in runs) / len(runs)
        print(
            f'takeover, {instances} instances: median {median:.2f} s, '
            f'max {seconds[-1]:.2f} s after the owner has failed; '
            f'{claims:.2f} claims per takeover'
        )


def _state_with_intents(count: int) -> replay.DutyState:
    state = replay.DutyState(_DUTY)
    state.apply(_entry(0, _claim('a', -1)))
    for number in range(count):
        state.apply(_entry(number + 1, _intent(number)))
    return state


def _intent(number: int) -> entries.Intent:
    order_id = f'pool-0-{number}'
    order = external_api.Order(
        order_id=order_id,
        fence=0,
        kind=external_api.OrderKind.LOAD,
        artifact='repair-ticket-writer@2026-12-03',
        memory_bytes=40_000_000_000,
        incarnation='server-17-process-3',
    )
    return entries.Intent(
        entry_id=order_id,
        epoch=0,
        sequence=number,
        server_id='server-17',
        order=order,
    )


def bench_replay() -> None:
    """Print the cost of replaying intents and outcomes."""
    for open_orders in (0, 12, 128):
        state = _state_with_intents(open_orders)
        records = []
        for number in range(open_orders, open_orders + _ENTRIES // 2):
            done = entries.Outcome(
                entry_id=f'{number}-done',
                epoch=0,
                order_id=f'pool-0-{number}',
                end=entries.OrderEnd.DONE,
            )
            records.append(entries.CODEC.encode((_intent(number),)))
            records.append(entries.CODEC.encode((done,)))
        first = state.offset + 1
        started = time.process_time()
        for number, payload in enumerate(records):
            state.apply(external_api.LogEntry(first + number, 0.0, payload))
        mean_seconds = (time.process_time() - started) / len(records)
        size = sum(map(len, records)) / len(records)
        print(
            f'replay, {open_orders} orders open: '
            f'{mean_seconds * 1e6:.1f} us and {size:.0f} bytes per entry'
        )


def bench_checkpoint() -> None:
    """Print the size of a checkpoint and its growth per open order."""
    sizes = [
        len(journal_api.make_snapshot('s', _state_with_intents(count)).state)
        for count in (0, 100)
    ]
    slope = (sizes[1] - sizes[0]) / 100
    print(f'checkpoint: {sizes[0]} bytes, plus {slope:.0f} per open order')


def _ledger(servers: int, artifacts: int, fencing: bool) -> core.PoolLedger:
    pool = records_api.Pool(
        'a',
        tuple(
            records_api.Server(
                f's{number}', '127.0.0.1', number, 'd', 100 * _MEGABYTE
            )
            for number in range(servers)
        ),
        fencing,
    )
    models = {
        f'm{number}': records_api.Model(f'm{number}', '1', _MEGABYTE, 'a')
        for number in range(artifacts)
    }
    catalog = records_api.Catalog(models=models, pools={'a': pool})
    ledger = core.PoolLedger(pool, catalog, 0)
    ledger.set_slots(6)
    load = external_api.LoadReport(0.0, 0, 0, 0.0, 0.0)
    artifact_states = tuple(
        external_api.ArtifactState(f'm{number}@1', _MEGABYTE, ready=True)
        for number in range(artifacts)
    )
    for server_id, server in ledger.servers.items():
        state = external_api.EngineState(
            'p', 0, 100 * _MEGABYTE, artifact_states, load
        )
        ledger.observe(server_id, state, server.begin_observation())
    return ledger


def bench_moves() -> None:
    """Print the appends and the processor time per move."""
    for fencing in (True, False):
        ledger = _ledger(5, 20, fencing)
        kind = placement_api.MoveKind.LOAD
        move = placement_api.Move(kind, 's0', 'new@1', _MEGABYTE, '', '')
        approved = ledger.approve(move)
        assert isinstance(approved, core.Approved)
        appends = 1 if approved.needs_intent else 0
        order_id = approved.order.order_id
        if approved.needs_intent:
            ledger.intent(approved)
            ledger.on_intent_logged(order_id)
        ledger.on_attempt(order_id)
        ledger.on_completed(order_id)
        appends += 1 if ledger.pending_outcomes else 0
        mode = 'with fencing' if fencing else 'without fencing'
        print(f'appends per move, engines {mode}: {appends}')
    for servers, artifacts in ((5, 20), (64, 20), (64, 40)):
        ledger = _ledger(servers, artifacts, fencing=True)
        kind = placement_api.MoveKind.UNLOAD
        started = time.process_time()
        for number in range(200):
            target = f's{number % servers}'
            artifact = f'm{number % artifacts}@1'
            ledger.approve(
                placement_api.Move(kind, target, artifact, 0, '', '')
            )
        mean_seconds = (time.process_time() - started) / 200
        print(
            f'checking a move, {servers} servers of {artifacts} artifacts: '
            f'{mean_seconds * 1e6:.0f} us'
        )


def main() -> None:
    """Run all measurements."""
    bench_takeover()
    bench_moves()
    bench_replay()
    bench_checkpoint()


if __name__ == '__main__':
    main()
