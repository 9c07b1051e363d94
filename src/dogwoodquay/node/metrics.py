"""Metrics of the control side of an instance."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from . import configuration as configurations
    from ..idempotency import shell as idempotency_shell
    from ..membership import shell as membership_shell
    from ..observe import metrics
    from . import pools as pools_module
    from ..wire import traffic as wire_traffic

__all__ = ['register']


def register(
    registry: metrics.Registry,
    traffic: wire_traffic.Traffic,
    configuration: configurations.Configuration,
    membership: membership_shell.GossipMembership,
    claims: idempotency_shell.LogClaims,
    pools: pools_module.PoolDuties,
) -> None:
    """Create the metrics of an instance's parts."""
    _register_peers(registry, traffic)
    registry.gauge(
        'dogwoodquay_configuration_offset',
        'The log offset up to which records are in force.',
        lambda: configuration.offset,
    )
    registry.gauge(
        'dogwoodquay_log_reachable',
        'Whether the last read of the log succeeded.',
        lambda: int(configuration.log_reachable),
    )
    registry.labelled_gauge(
        'dogwoodquay_records_refused',
        'Refused records among the last ones kept, by reason.',
        'reason',
        lambda: collections.Counter(
            item.reason.value for item in configuration.state.records.refused
        ),
    )
    registry.labelled_gauge(
        'dogwoodquay_members',
        'Members as this instance sees them, by state.',
        'state',
        lambda: collections.Counter(
            member.state.name.lower() for member in membership.members()
        ),
    )
    registry.gauge(
        'dogwoodquay_pauses_total',
        'How often this instance found that it had been paused.',
        lambda: membership.pauses,
    )
    registry.gauge(
        'dogwoodquay_claim_appends_total',
        'Appends for claims on idempotency keys.',
        lambda: claims.appends,
    )
    registry.labelled_gauge(
        'dogwoodquay_moves_denied_total',
        'Planned moves that the ledger did not allow, by reason.',
        'reason',
        lambda: _denials(pools),
    )
    registry.gauge(
        'dogwoodquay_moves_total',
        'Moves that this instance started as an owner.',
        lambda: sum(pool.ledger.moves for pool in pools.standing.values()),
    )
    registry.gauge(
        'dogwoodquay_pools_owned',
        'Pools that this instance owns.',
        lambda: sum(
            pool.duty.tenure is not None for pool in pools.standing.values()
        ),
    )


def _register_peers(
    registry: metrics.Registry, traffic: wire_traffic.Traffic
) -> None:
    registry.gauge(
        'dogwoodquay_peer_bytes_sent_total',
        'Bytes sent to other instances.',
        lambda: traffic.bytes_sent,
    )
    registry.gauge(
        'dogwoodquay_peer_bytes_received_total',
        'Bytes received from other instances.',
        lambda: traffic.bytes_received,
    )
    registry.labelled_gauge(
        'dogwoodquay_peers_refused_total',
        'Connections of peers that were refused, by reason.',
        'reason',
        lambda: traffic.refused,
    )
    registry.labelled_gauge(
        'dogwoodquay_peer_messages_dropped_total',
        'Messages between instances that were dropped, by reason.',
        'reason',
        lambda: traffic.dropped,
    )
    registry.labelled_gauge(
        'dogwoodquay_peer_dial_failures_total',
        'Failed connections to peers, by reason.',
        'reason',
        lambda: traffic.dial_failures,
    )


def _denials(
    pools: pools_module.PoolDuties,
) -> collections.Counter[str]:
    total: collections.Counter[str] = collections.Counter()
    for pool in pools.standing.values():
        total.update(pool.ledger.denials)
    return total
