"""Keeps the quotas of tenants, by messages between instances."""

from __future__ import annotations

import typing

from ..allotments import api as allotment_api
from ..allotments import core
from ..gateway import api
from ..gateway import messages
from ..observe import logs
from ..tenants import api as tenants_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..gateway import metrics as gateway_metrics
    from ..gateway import settings as gateway_settings

__all__ = ['TenantAccounts', 'units_of']

_LOG: typing.Final = logs.ComponentLog('allotments')

_TOO_MANY_REQUESTS: typing.Final = 429
# Units from which decimals do not matter.
SHORT_UNITS: typing.Final = 1000.0
# Members whose false rows are remembered, to log each one once.
MAX_MEMBERS: typing.Final = 256


def units_of(tenant: tenants_api.Tenant, terms: api.CallerTerms) -> float:
    """Return the units that a request counts."""
    if tenant.unit is tenants_api.Unit.REQUESTS:
        return 1.0
    return terms.prompt_tokens + terms.output_tokens or tenant.plain_tokens


def _short(units: float) -> float:
    """Return units without decimals that do not matter.

    A whole number takes 3 to 5 bytes in a message, any other 9.
    """
    return round(units) if abs(units) >= SHORT_UNITS else units


class TenantAccounts:
    """Translates between messages and the quotas of tenants."""

    def __init__(
        self,
        settings: gateway_settings.InstanceSettings,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        bounds = allotment_api.Bounds(
            settings.quota_window_seconds,
            settings.quota_over,
            settings.quota_slack,
        )
        self._allotments = core.Allotments(bounds, rng, clock.now())
        self._limited: set[str] = set()
        self._falsified: set[str] = set()
        metrics.gauge(
            'gateway_limited_tenants',
            'Tenants over their quotas, of which requests were refused here',
            lambda: len(self._allotments.limited(self._clock.now())),
        )

    @property
    def limited(self) -> bool:
        """Whether requests of any tenant were refused here lately."""
        return bool(self._limited)

    def configure(self, tenants: abc.Iterable[tenants_api.Tenant]) -> None:
        """Apply the quotas of a configuration."""
        self._allotments.configure(tenants, self._clock.now())

    def admit(self, call: api.Call) -> api.Refusal | None:
        """Count a request of a tenant; return the refusal if it is over."""
        return self._charge(call, call.tenant)

    def move(
        self, call: api.Call, tenant: tenants_api.Tenant | None
    ) -> api.Refusal | None:
        """Count a request in another tenant's quota, as its key has moved.

        :return: the refusal if that tenant is over its quota.
        """
        self.refund(call)
        return self._charge(call, tenant)

    def _charge(
        self, call: api.Call, tenant: tenants_api.Tenant | None
    ) -> api.Refusal | None:
        if tenant is None:
            return None
        now = self._clock.now()
        units = units_of(tenant, call.terms)
        match self._allotments.admit(tenant.name, units, now):
            case allotment_api.Admitted():
                if call.charge is not None:
                    call.charge.tenant = tenant
                return None
            case allotment_api.Rejected(seconds):
                if tenant.name not in self._limited:
                    self._limited.add(tenant.name)
                    _LOG.write('limited', tenant=tenant.name, rate=tenant.rate)
                return api.Refusal(
                    api.RefusalReason.OVER_ALLOTMENT,
                    _TOO_MANY_REQUESTS,
                    seconds * self._rng.uniform(0.75, 1.25),
                )

    def refund(self, call: api.Call) -> None:
        """Return the units of an admitted request that did not run."""
        charge = call.charge
        if charge is None or charge.tenant is None:
            return
        tenant, charge.tenant = charge.tenant, None
        self._allotments.refund(tenant.name, units_of(tenant, call.terms))
        self._metrics.allotment_refunded()

    def load_rows(self) -> tuple[messages.UsageRow, ...]:
        """Return the recent usage, for the owner."""
        if not self._allotments.any and not self._limited:
            return ()
        now = self._clock.now()
        self._record_ended(now)
        return tuple(
            messages.UsageRow(row.tenant, *map(_short, row[1:]))
            for row in self._allotments.load_rows(now)
        )

    def on_owner(self, is_owner: bool) -> None:
        """Record whether this instance is the owner now."""
        self._allotments.on_owner(is_owner, self._clock.now())

    def on_load(
        self, load: messages.InstanceLoad, confirmed_at: float
    ) -> tuple[messages.AccountRow, ...] | None:
        """Charge an instance's usage at the owner; return its accounts.

        :param confirmed_at: when the store last confirmed this owner.
        :return: ``None`` if this instance may admit nothing.
        """
        now = self._clock.now()
        self._allotments.on_owner(True, now)
        rows = (
            allotment_api.Usage(
                row.tenant, row.asked, row.admitted, row.unsettled
            )
            for row in load.usage
        )
        member = load.instance_id
        dropped = self._allotments.on_load(member, rows, confirmed_at, now)
        if dropped:
            self._record_dropped(member, dropped)
        accounts = self._allotments.view_rows(member, now)
        if accounts is None:
            return None
        return tuple(
            messages.AccountRow(
                item.tenant, _short(item.level), _short(item.asked), item.part
            )
            for item in accounts
        )

    def on_view(self, view: messages.FleetView) -> None:
        """Apply the owner's view, which answers the last load."""
        accounts = None
        if view.allotments is not None:
            accounts = [
                allotment_api.Account(
                    row.tenant, row.level, row.asked, row.part
                )
                for row in view.allotments
            ]
        dropped = self._allotments.on_view(
            accounts, view.instances, self._clock.now()
        )
        if dropped:
            self._record_dropped(view.owner, dropped)

    def update_members(self, rows: abc.Iterable[messages.InstanceRow]) -> None:
        """Set the instances that the owner knows."""
        self._allotments.update_members(row.member for row in rows)

    def _record_ended(self, now: float) -> None:
        """Log the tenants of which nothing was refused lately."""
        ended = self._limited - self._allotments.limited(now)
        self._limited -= ended
        for name in sorted(ended):
            _LOG.write('unlimited', tenant=name)

    def _record_dropped(self, member: str, count: int) -> None:
        """Count rows that cannot be true; log them once for a member."""
        self._metrics.allotment_rows_dropped(count)
        if member in self._falsified or len(self._falsified) >= MAX_MEMBERS:
            return
        self._falsified.add(member)
        _LOG.write('rows_dropped', member=member, count=count)
