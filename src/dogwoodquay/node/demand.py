"""What callers ask of this instance, and of all of them together.

Demand goes straight to the owner of the pool it concerns; the rates by which
callers' allowances are split go to all instances by the board.
"""

from __future__ import annotations

import typing

import anyio

from ..admission import api as admission_api
from ..admission import shares
from ..dispatch import api as dispatch_api
from ..gossip import api as gossip_api
from ..journal import entries as journal_entries
from ..placement import api as placement_api
from ..placement import demand as demands
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..records import api as records_api

__all__ = ['USAGE_PREFIX', 'DemandExchange', 'DemandMessage', 'ShareExchange']

USAGE_PREFIX: typing.Final = 'usage/'
DEMAND_SECONDS: typing.Final = 3.0
DEMAND_LIFETIME_SECONDS: typing.Final = 15.0
USAGE_SECONDS: typing.Final = 1.0
USAGE_REPEAT_SECONDS: typing.Final = 20.0
USAGE_WINDOW_SECONDS: typing.Final = 10.0
ANSWER_BYTES_PER_TOKEN: typing.Final = 4
PROMPT_TOKEN_WEIGHT: typing.Final = 0.25
USAGE_LIFETIME_SECONDS: typing.Final = 60.0
CHANGED_SHARE: typing.Final = 0.1
CHANGED_RATE: typing.Final = 0.2


class DemandMessage(wire_api.Message, frozen=True, tag='demand'):
    """What an instance was asked for, of one pool's artifacts."""

    pool: str
    report: demands.DemandReport


class DemandExchange:
    """Counts demand here and gathers all instances' for owned pools.

    :param owner: returns where a pool's owner listens, ``None`` for this
        instance or an unknown one.
    :param paces: returns how slow each server of a pool seems here.
    """

    def __init__(
        self,
        instance_id: str,
        transport: wire_api.Transport,
        clock: clocks.Clock,
        catalog: abc.Callable[[], records_api.Catalog],
        owner: abc.Callable[[str], wire_api.PeerAddress | None],
        waiting: abc.Callable[[str], int],
        paces: abc.Callable[[str], dict[str, float]],
    ) -> None:
        self._instance_id = instance_id
        self._transport = transport
        self._clock = clock
        self._catalog = catalog
        self._owner = owner
        self._waiting = waiting
        self._paces = paces
        self._estimator = demands.DemandEstimator(instance_id, clock.now())
        self._reports: dict[tuple[str, str], demands.DemandReport] = {}
        transport.register(DemandMessage, self._take)

    def note(self, ticket: admission_api.Ticket) -> None:
        """Count a request, whatever becomes of it."""
        now = self._clock.now()
        self._estimator.record_arrival(ticket.artifact, now)
        tokens = int(ticket.prompt_tokens * PROMPT_TOKEN_WEIGHT)
        self._estimator.record_tokens(ticket.artifact, tokens, now)

    def note_answer(
        self,
        call: dispatch_api.Call,
        answer: dispatch_api.WholeAnswer | dispatch_api.StreamedAnswer,
    ) -> None:
        """Count the tokens of an engine's answer."""
        if call.kind is not dispatch_api.UpstreamKind.ENGINE:
            return
        match answer:
            case dispatch_api.StreamedAnswer(last_event):
                tokens = last_event
            case dispatch_api.WholeAnswer(body=body):
                tokens = len(body) // ANSWER_BYTES_PER_TOKEN
        now = self._clock.now()
        self._estimator.record_tokens(call.artifact, tokens, now)

    def demand(self, pool: str) -> tuple[placement_api.Demand, ...]:
        """Return the demand for a pool's artifacts at all instances."""
        return demands.merge(self._current(pool))

    def speeds(self, pool: str) -> dict[str, float]:
        """Return the speeds of a pool's servers, as all instances see it."""
        return demands.relative_throughputs(self._current(pool))

    def _current(self, pool: str) -> list[demands.DemandReport]:
        oldest = self._clock.now() - DEMAND_LIFETIME_SECONDS
        return [
            report
            for (name, _), report in self._reports.items()
            if name == pool and report.time >= oldest
        ]

    async def run(self) -> typing.NoReturn:
        """Report at a steady pace, for ever."""
        while True:
            self.step()
            await anyio.sleep(DEMAND_SECONDS)

    def step(self) -> None:
        """Report once to the owner of each pool."""
        now = self._clock.now()
        pools = _pools_of_artifacts(self._catalog())
        for artifact in self._estimator.report(now).entries:
            self._estimator.set_waiting(
                artifact.artifact, self._waiting(artifact.artifact), now
            )
        entries: dict[str, list[demands.ArtifactDemand]] = {}
        for entry in self._estimator.report(now).entries:
            pool = pools.get(entry.artifact.partition('@')[0])
            if pool is not None:
                entries.setdefault(pool, []).append(entry)
        for pool, found in entries.items():
            report = demands.DemandReport(
                self._instance_id, now, tuple(found), self._paces(pool)
            )
            self._send(pool, report)

    def _send(self, pool: str, report: demands.DemandReport) -> None:
        self._reports[pool, self._instance_id] = report
        peer = self._owner(pool)
        if peer is not None:
            message = DemandMessage(pool, report)
            self._transport.send(peer, message, coalesce=f'demand/{pool}')

    async def _take(
        self, sender: wire_api.Sender, message: DemandMessage, deadline: float
    ) -> None:
        key = (message.pool, sender.instance_id)
        self._reports[key] = message.report
        oldest = self._clock.now() - DEMAND_LIFETIME_SECONDS
        for known in [k for k, r in self._reports.items() if r.time < oldest]:
            del self._reports[known]


class ShareExchange:
    """Keeps this instance's share of each caller's allowance current."""

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        replicated_map: gossip_api.ReplicatedMap,
        admission: admission_api.Admission,
        clock: clocks.Clock,
        catalog: abc.Callable[[], records_api.Catalog],
    ) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._replicated_map = replicated_map
        self._admission = admission
        self._clock = clock
        self._catalog = catalog
        self._estimator = shares.ShareEstimator(
            instance_id,
            incarnation,
            shares.ShareSettings(window_seconds=USAGE_WINDOW_SECONDS),
        )
        self._shown: dict[str, float] = {}
        self._repeat_at = 0.0
        replicated_map.watch(USAGE_PREFIX, self._take)

    def note(self, ticket: admission_api.Ticket) -> None:
        """Count a request, whatever becomes of it."""
        self._estimator.record_request(ticket.caller, self._clock.now())

    def forget(self, instance_id: str) -> None:
        """Drop an instance that is certainly gone."""
        self._estimator.forget(instance_id)

    async def run(self) -> typing.NoReturn:
        """Report and apply shares at a steady pace, for ever."""
        while True:
            self.step()
            await anyio.sleep(USAGE_SECONDS)

    def step(self) -> None:
        """Report what changed and apply the present shares."""
        now = self._clock.now()
        report = self._estimator.report(now)
        if now >= self._repeat_at or _changed(self._shown, report.rates):
            self._publish(report, now)
        for caller in self._catalog().callers:
            share = self._estimator.share(caller, now)
            self._admission.set_share(caller, share)

    def _publish(self, report: shares.UsageReport, now: float) -> None:
        self._shown = report.rates
        self._repeat_at = now + USAGE_REPEAT_SECONDS
        self._replicated_map.put(
            gossip_api.Item(
                USAGE_PREFIX + self._instance_id,
                gossip_api.Version(self._incarnation, report.sequence),
                journal_entries.pack(report),
                now + USAGE_LIFETIME_SECONDS,
            )
        )

    def _take(self, item: gossip_api.Item) -> None:
        try:
            report = journal_entries.unpack(item.payload, shares.UsageReport)
        except ValueError:
            return
        self._estimator.receive(report, self._clock.now())


def _pools_of_artifacts(catalog: records_api.Catalog) -> dict[str, str]:
    pools = {name: model.pool for name, model in catalog.models.items()}
    for name, adapter in catalog.adapters.items():
        if adapter.base in pools:
            pools[name] = pools[adapter.base]
    return pools


def _changed(
    shown: abc.Mapping[str, float], rates: abc.Mapping[str, float]
) -> bool:
    """Whether a caller's rate differs enough to be told at once."""
    for caller in {*shown, *rates}:
        before = shown.get(caller, 0.0)
        after = rates.get(caller, 0.0)
        if abs(after - before) > CHANGED_RATE + CHANGED_SHARE * before:
            return True
    return False
