"""Metrics of an instance that forwards requests."""

from __future__ import annotations

import typing

from ..observe import metrics

if typing.TYPE_CHECKING:
    from collections import abc

    from ..entry import guard as guards
    from ..wire import traffic

__all__ = ['GatewayMetrics']


class GatewayMetrics:
    """Counts the outcomes of requests, attempts and orders."""

    def __init__(self, registry: metrics.Registry) -> None:
        self._registry = registry
        self._answers = registry.counter(
            'gateway_answers_total', 'Answers of servers', 'status'
        )
        self._refusals = registry.counter(
            'gateway_refusals_total', 'Refusals of this instance', 'reason'
        )
        self._cuts = registry.counter(
            'gateway_cuts_total', 'Streams cut before their end', 'reason'
        )
        self._gone = registry.counter(
            'gateway_callers_gone_total',
            'Callers that left before the end of the answer',
        )
        self._cut_attempts = registry.counter(
            'gateway_cut_attempts_total',
            'Streams cut before their end, by the last attempt',
            'reason',
            'failure',
            'ended_by',
        )
        self._gone_phases = registry.counter(
            'gateway_callers_gone_phases_total',
            'Callers that left before the end of the answer, by phase',
            'phase',
        )
        self._lost = registry.counter(
            'gateway_connections_lost_total',
            'Connections of callers that this instance lost in a request',
            'ended_by',
            'phase',
        )
        self._failed = registry.counter(
            'gateway_attempts_failed_total', 'Failed attempts', 'reason'
        )
        self._retried = registry.counter(
            'gateway_retries_total', 'Attempts after the first', 'reason'
        )
        self._unsolicited = registry.counter(
            'gateway_unsolicited_answers_total',
            'Connections to servers closed for bytes that nothing asked for',
        )
        self._extra_answers = registry.counter(
            'gateway_extra_answers_total',
            'Answers to earlier requests that were dropped before the awaited',
        )
        self._orders = registry.counter(
            'gateway_orders_total', 'Orders to engines', 'kind', 'answer'
        )
        self._released = registry.counter(
            'gateway_clients_released_total',
            'Connections and requests of clients given up for a limit',
            'reason',
            'phase',
        )
        self._pauses = registry.counter(
            'gateway_server_pauses_total',
            'Pauses that servers have asked for',
        )
        self._unreadable = registry.counter(
            'gateway_unreadable_entries_total',
            'Entries of the server list that name no server to use',
        )
        self._store = registry.counter(
            'gateway_store_errors_total', 'Failed store calls', 'reason'
        )
        self._departures = registry.counter(
            'gateway_departures_total',
            'Servers that were found to have left',
            'source',
        )
        self._servers_ended = registry.counter(
            'gateway_servers_ended_total',
            'Servers that ended while requests with prompts ran there',
        )
        self._probes = registry.counter(
            'gateway_verdict_probes_total',
            'Requests let through to test a verdict',
        )
        self._convictions = registry.counter(
            'gateway_convictions_total',
            'Verdicts on parts of prompts under which servers ended',
        )
        self._limits_changed = registry.counter(
            'gateway_server_limits_total',
            'Limits that servers have named or ended, or that are no numbers',
            'change',
        )
        self._limited_requests = registry.counter(
            'gateway_limited_requests_total',
            'Requests to servers that limit them',
            'sent_by',
        )
        self._permits_granted = registry.counter(
            'gateway_permits_granted_total',
            'Permits for limited servers, given out by the owner',
        )
        self._stalls = registry.counter(
            'gateway_server_stalls_total',
            'Servers that were found to answer no instance',
        )
        self._allotments_refunded = registry.counter(
            'gateway_allotment_refunds_total',
            'Admitted requests of tenants that did not run',
        )
        self._allotment_rows_dropped = registry.counter(
            'gateway_allotment_rows_dropped_total',
            'Rows of peers on the usage of tenants that cannot be true',
        )
        self._learned_limits = registry.counter(
            'gateway_learned_limits_total',
            'Changes by one or more of what a server runs well at a time',
        )
        self._overload = registry.counter(
            'gateway_overload_total',
            'Decisions about requests for overloaded servers',
            'reason',
        )
        self._configuration_reads = registry.counter(
            'gateway_configuration_reads_total',
            'Reads of the configuration',
            'kind',
            'outcome',
        )
        self._configuration_bytes = registry.counter(
            'gateway_configuration_read_bytes_total',
            'Bytes of the values received by reads of the configuration',
        )
        self._origins_recorded = registry.counter(
            'gateway_origins_recorded_total',
            'Records of the version that began a stream',
            'reason',
        )
        self._origins_found = registry.counter(
            'gateway_origin_lookups_total',
            'Lookups of the version that began a stream',
            'reason',
        )
        self._origin_log_calls = registry.counter(
            'gateway_origin_log_calls_total',
            'Calls to the log of the versions that began streams',
            'outcome',
        )
        self._crash_record_calls = registry.counter(
            'gateway_crash_record_calls_total',
            'Calls to the records of verdicts and crashes',
            'outcome',
        )
        self._tenants_dropped = registry.counter(
            'gateway_tenants_dropped_total',
            'Declared tenants, or parts of their records, that are not used',
            'reason',
        )
        self._unauthorized = registry.counter(
            'gateway_unauthorized_total',
            'Requests without a valid API key',
            'reason',
        )
        self._first = registry.histogram(
            'gateway_first_byte_seconds', 'Time to the first byte'
        )
        self._whole = registry.histogram(
            'gateway_answer_seconds', 'Time to the end of an answer'
        )

    def gauge(
        self, name: str, doc: str, read: abc.Callable[[], float]
    ) -> None:
        """Add a gauge that is read on each scrape."""
        self._registry.gauge(name, doc, read)

    def watch_clients(
        self, guard: guards.ConnectionGuard, peers: traffic.Traffic
    ) -> None:
        """Show what clients hold, and which peers were refused."""
        for name, doc, read in (
            ('held_bytes', 'Held of requests and answers', guard.held),
            ('limit_bytes', 'Limit of what is held', guard.limit),
            ('connections', 'Open connections', guard.count),
        ):
            self.gauge(f'gateway_clients_{name}', doc, read)
        self._registry.labelled_gauge(
            'gateway_peers_refused',
            'Connections of peers refused',
            'reason',
            lambda: peers.refused,
        )

    def released(self, reason: str, phase: str) -> None:
        """Count a connection or request that was given up for a limit."""
        self._released.add(reason, phase)

    def answered(self, status: int, seconds: float) -> None:
        """Count a server's answer that was sent to its caller."""
        self._answers.add(str(status))
        self._whole.observe(seconds)

    def refused(self, reason: str) -> None:
        """Count a refusal of this instance."""
        self._refusals.add(reason)

    def cut(self, reason: str, failure: str, ended_by: str) -> None:
        """Count a stream that was cut before its end.

        :param failure: of the last attempt, empty if it was in flight.
        """
        self._cuts.add(reason)
        self._cut_attempts.add(reason, failure, ended_by)

    def caller_gone(self, phase: str) -> None:
        """Count a caller that left before the end of its answer."""
        self._gone.add()
        self._gone_phases.add(phase)

    def connection_lost(self, ended_by: str, phase: str) -> None:
        """Count a connection that was lost for a reason on this side."""
        self._lost.add(ended_by, phase)

    def attempt_failed(self, reason: str) -> None:
        """Count a failed attempt."""
        self._failed.add(reason)

    def unsolicited(self) -> None:
        """Count a connection closed for bytes that nothing asked for."""
        self._unsolicited.add()

    def extra_answers(self, count: int) -> None:
        """Count answers to earlier requests that were dropped."""
        self._extra_answers.add(amount=count)

    def retried(self, reason: str) -> None:
        """Count an attempt after the first."""
        self._retried.add(reason)

    def ordered(self, kind: str, answer: str) -> None:
        """Count an order to an engine."""
        self._orders.add(kind, answer)

    def store_failed(self, reason: str) -> None:
        """Count a failed call to the store."""
        self._store.add(reason)

    def departed(self, source: str) -> None:
        """Count a server that has left, by who told of it."""
        self._departures.add(source)

    def entry_unreadable(self) -> None:
        """Count an entry of the list that names no server to use."""
        self._unreadable.add()

    def server_paused(self) -> None:
        """Count a pause that a server has asked for."""
        self._pauses.add()

    def server_ended(self) -> None:
        """Count a report of a server that has ended."""
        self._servers_ended.add()

    def convicted(self) -> None:
        """Count a new verdict on parts of prompts."""
        self._convictions.add()

    def probed(self) -> None:
        """Count a request that is let through to test a verdict."""
        self._probes.add()

    def limit_changed(self, change: str) -> None:
        """Count a server's limit that is new, has ended or is no number."""
        self._limits_changed.add(change)

    def limited_request(self, sent_by: str) -> None:
        """Count a request to a limited server, by what allows it."""
        self._limited_requests.add(sent_by)

    def permits_granted(self, count: int) -> None:
        """Count permits for limited servers that the owner gives out."""
        self._permits_granted.add(amount=count)

    def server_stalled(self) -> None:
        """Count a server that answers no instance."""
        self._stalls.add()

    def allotment_refunded(self) -> None:
        """Count an admitted request of a tenant that did not run."""
        self._allotments_refunded.add()

    def allotment_rows_dropped(self, count: int) -> None:
        """Count rows of a peer that cannot be true."""
        self._allotment_rows_dropped.add(amount=count)

    def learned_limit_changed(self) -> None:
        """Count a logged change of a server's learned limit."""
        self._learned_limits.add()

    def overloaded(self, reason: str) -> None:
        """Count a decision of overload control."""
        self._overload.add(reason)

    def configuration_read(self, kind: str, outcome: str, size: int) -> None:
        """Count a read of the configuration and the bytes received."""
        self._configuration_reads.add(kind, outcome)
        self._configuration_bytes.add(amount=size)

    def origin_recorded(self, reason: str) -> None:
        """Count a record of the version that began a stream."""
        self._origins_recorded.add(reason)

    def origins_recorded(self, reason: str) -> int:
        """Return the number of records with an outcome."""
        return self._origins_recorded.value(reason)

    def origin_looked_up(self, reason: str) -> None:
        """Count a lookup of the version that began a stream."""
        self._origins_found.add(reason)

    def origin_log_called(self, outcome: str) -> None:
        """Count a call to the log of the versions that began streams."""
        self._origin_log_calls.add(outcome)

    def crash_records_called(self, outcome: str) -> None:
        """Count a call to the records of verdicts and crashes."""
        self._crash_record_calls.add(outcome)

    def tenants_dropped(self, reason: str, count: int) -> None:
        """Count records of tenants that are not used for a reason."""
        self._tenants_dropped.add(reason, amount=count)

    def unauthorized(self, reason: str) -> None:
        """Count a request without a valid API key."""
        self._unauthorized.add(reason)

    def first_byte(self, seconds: float) -> None:
        """Record the time to the first byte of an answer."""
        self._first.observe(seconds)
