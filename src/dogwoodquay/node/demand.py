"""Exchanges demand and callers' request rates between instances.

An instance sends its demand for a pool's artifacts to the owner of the pool.
It publishes its callers' request rates to all instances by gossip; they
determine each instance's share of a caller's allowance.
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
DEMAND_INTERVAL_SECONDS: typing.Final = 3.0
DEMAND_LIFETIME_SECONDS: typing.Final = 15.0
USAGE_INTERVAL_SECONDS: typing.Final = 1.0
USAGE_REPEAT_SECONDS: typing.Final = 20.0
USAGE_WINDOW_SECONDS: typing.Final = 10.0
ANSWER_BYTES_PER_TOKEN: typing.Final = 4
PROMPT_TOKEN_WEIGHT: typing.Final = 0.25
USAGE_LIFETIME_SECONDS: typing.Final = 60.0
MIN_RELATIVE_CHANGE: typing.Final = 0.1
MIN_RATE_CHANGE: typing.Final = 0.2


class DemandMessage(wire_api.Message, frozen=True, tag='demand'):
    """An instance's demand for the artifacts of one pool."""

    pool: str
    report: demands.DemandReport


class DemandExchange:
    """Measures this instance's demand and collects that of its peers.

    :param owner: returns the address of a pool's owner, ``None`` if the owner
        is this instance or unknown.
    :param waiting: returns the number of queued requests for an artifact.
    :param relative_latencies: returns the latency of a pool's servers as this
        instance measures it, relative to the mean.
    """

    def __init__(
        self,
        instance_id: str,
        transport: wire_api.Transport,
        clock: clocks.Clock,
        catalog: abc.Callable[[], records_api.Catalog],
        owner: abc.Callable[[str], wire_api.PeerAddress | None],
        waiting: abc.Callable[[str], int],
        relative_latencies: abc.Callable[[str], dict[str, float]],
    ) -> None:
        self._instance_id = instance_id
        self._transport = transport
        self._clock = clock
        self._catalog = catalog
        self._owner = owner
        self._waiting = waiting
        self._relative_latencies = relative_latencies
        self._estimator = demands.DemandEstimator(instance_id, clock.now())
        self._reports: dict[tuple[str, str], demands.DemandReport] = {}
        transport.register(DemandMessage, self._on_demand)

    def record_request(self, ticket: admission_api.Ticket) -> None:
        """Count a request, whether it is admitted or refused."""
        now = self._clock.now()
        self._estimator.record_arrival(ticket.artifact, now)
        tokens = int(ticket.prompt_tokens * PROMPT_TOKEN_WEIGHT)
        self._estimator.record_tokens(ticket.artifact, tokens, now)

    def record_answer(
        self,
        call: dispatch_api.Call,
        answer: dispatch_api.WholeAnswer | dispatch_api.StreamedAnswer,
    ) -> None:
        """Count the tokens that an engine generated.

        A stream counts one token an event; for a whole answer the number is
        estimated by its size.
        """
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
        """Return the demand for a pool's artifacts, summed over instances."""
        return demands.merge(self._recent_reports(pool))

    def relative_throughputs(self, pool: str) -> dict[str, float]:
        """Return the relative throughput of a pool's servers.

        It is derived from the latencies that all instances report.
        """
        return demands.relative_throughputs(self._recent_reports(pool))

    def _recent_reports(self, pool: str) -> list[demands.DemandReport]:
        oldest = self._clock.now() - DEMAND_LIFETIME_SECONDS
        return [
            report
            for (name, _), report in self._reports.items()
            if name == pool and report.time >= oldest
        ]

    async def run(self) -> typing.NoReturn:
        """Report at a fixed interval until cancelled."""
        while True:
            self.step()
            await anyio.sleep(DEMAND_INTERVAL_SECONDS)

    def step(self) -> None:
        """Report the demand once to the owner of each pool."""
        now = self._clock.now()
        pools = _pools_of_artifacts(self._catalog())
        for rates in self._estimator.report(now).entries:
            self._estimator.set_waiting(
                rates.artifact, self._waiting(rates.artifact), now
            )
        entries: dict[str, list[demands.ArtifactDemand]] = {}
        for entry in self._estimator.report(now).entries:
            pool = pools.get(entry.artifact.partition('@')[0])
            if pool is not None:
                entries.setdefault(pool, []).append(entry)
        for pool, pool_entries in entries.items():
            report = demands.DemandReport(
                self._instance_id,
                now,
                tuple(pool_entries),
                self._relative_latencies(pool),
            )
            self._send(pool, report)

    def _send(self, pool: str, report: demands.DemandReport) -> None:
        self._reports[pool, self._instance_id] = report
        peer = self._owner(pool)
        if peer is not None:
            message = DemandMessage(pool, report)
            self._transport.send(peer, message, coalesce=f'demand/{pool}')

    async def _on_demand(
        self, sender: wire_api.Sender, message: DemandMessage, deadline: float
    ) -> None:
        key = (message.pool, sender.instance_id)
        self._reports[key] = message.report
        oldest = self._clock.now() - DEMAND_LIFETIME_SECONDS
        for expired in [
            k for k, r in self._reports.items() if r.time < oldest
        ]:
            del self._reports[expired]


class ShareExchange:
    """Updates this instance's share of each caller's allowance.

    The share follows from the rates at which all instances receive requests
    of the caller.
    """

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
        self._published: dict[str, float] = {}
        self._repeat_at = 0.0
        replicated_map.watch(USAGE_PREFIX, self._on_usage_item)

    def record_request(self, ticket: admission_api.Ticket) -> None:
        """Count a request, whether it is admitted or refused."""
        self._estimator.record_request(ticket.caller, self._clock.now())

    def forget(self, instance_id: str) -> None:
        """Drop the rates of an instance that has ended."""
        self._estimator.forget(instance_id)

    async def run(self) -> typing.NoReturn:
        """Publish rates and apply shares at a fixed interval."""
        while True:
            self.step()
            await anyio.sleep(USAGE_INTERVAL_SECONDS)

    def step(self) -> None:
        """Publish the rates if they changed, and apply the current shares."""
        now = self._clock.now()
        report = self._estimator.report(now)
        if now >= self._repeat_at or _differs_significantly(
            self._published, report.rates
        ):
            self._publish(report, now)
        for caller in self._catalog().callers:
            share = self._estimator.share(caller, now)
            self._admission.set_share(caller, share)

    def _publish(self, report: shares.UsageReport, now: float) -> None:
        self._published = report.rates
        self._repeat_at = now + USAGE_REPEAT_SECONDS
        self._replicated_map.put(
            gossip_api.Item(
                USAGE_PREFIX + self._instance_id,
                gossip_api.Version(self._incarnation, report.sequence),
                journal_entries.pack(report),
                now + USAGE_LIFETIME_SECONDS,
            )
        )

    def _on_usage_item(self, item: gossip_api.Item) -> None:
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


def _differs_significantly(
    published: abc.Mapping[str, float], rates: abc.Mapping[str, float]
) -> bool:
    """Whether a caller's rate changed enough to be published at once."""
    for caller in {*published, *rates}:
        before = published.get(caller, 0.0)
        after = rates.get(caller, 0.0)
        if (
            abs(after - before)
            > MIN_RATE_CHANGE + MIN_RELATIVE_CHANGE * before
        ):
            return True
    return False
