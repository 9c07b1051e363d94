"""Keeps the quotas of tenants over all instances together."""

from __future__ import annotations

import typing

from . import accounts as account_module
from . import admission
from . import api
from . import fallback

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..tenants import api as tenants_api

__all__ = ['Allotments']

_ADMITTED: typing.Final = api.Admitted()
# How long an instance counts as refusing a tenant after its last refusal.
LIMITED_SECONDS: typing.Final = 2.0


class Allotments:
    """The quotas of tenants; does no I/O.

    The owner keeps one account for each tenant, charged by what all instances
    report. Each instance admits the share of its requests that the account
    has room for; without a view it goes on with its part of the quota.
    """

    def __init__(
        self, bounds: api.Bounds, rng: random.Random, now: float
    ) -> None:
        self._bounds = bounds
        self._rng = rng
        self._accounts = account_module.Accounts()
        self._tenants: dict[str, admission.TenantAdmission] = {}
        self._refused_at: dict[str, float] = {}
        self._members: frozenset[str] = frozenset()
        self._instances = fallback.ASSUMED_INSTANCES
        self._leads = False
        self._heard_at = now

    @property
    def any(self) -> bool:
        """Whether any tenant is limited by the configuration."""
        return bool(self._tenants)

    def limited(self, now: float) -> set[str]:
        """Return the tenants of which requests were refused lately."""
        for name, at in list(self._refused_at.items()):
            if now - at > LIMITED_SECONDS:
                del self._refused_at[name]
        return set(self._refused_at)

    def configure(
        self, tenants: abc.Iterable[tenants_api.Tenant], now: float
    ) -> None:
        """Replace the quotas; a tenant without a rate has none."""
        quotas = {
            item.name: self._bounds.quota(item.rate, item.burst)
            for item in tenants
            if item.rate is not None
        }
        self._accounts.configure(quotas, now)
        for name in [item for item in self._tenants if item not in quotas]:
            del self._tenants[name]
            self._refused_at.pop(name, None)
        for name, quota in quotas.items():
            known = self._tenants.get(name)
            if known is None:
                self._tenants[name] = admission.TenantAdmission(
                    quota, self._rng, now
                )
            else:
                known.configure(quota, now)

    def admit(
        self, tenant_name: str, units: float, now: float
    ) -> api.Decision:
        """Decide on a request and count it."""
        tenant = self._tenants.get(tenant_name)
        if tenant is None:
            return _ADMITTED
        if now - self._heard_at <= fallback.ALONE_SECONDS:
            admitted = tenant.admit(units, now)
        else:
            admitted = tenant.admit_alone(units, self._instances, now)
        if admitted:
            return _ADMITTED
        self._refused_at[tenant_name] = now
        return api.Rejected(tenant.retry_after(units, now))

    def refund(self, tenant_name: str, units: float) -> None:
        """Return the units of an admitted request that did not run."""
        tenant = self._tenants.get(tenant_name)
        if tenant is not None:
            tenant.refund(units)

    def load_rows(self, now: float) -> list[api.Usage]:
        """Return the usage of the tenants with recent requests.

        The next view is taken as the answer to this load.
        """
        rows = (
            tenant.usage(name, now) for name, tenant in self._tenants.items()
        )
        return [row for row in rows if row is not None]

    def on_view(
        self,
        rows: abc.Iterable[api.Account] | None,
        instances: int,
        now: float,
    ) -> int:
        """Apply the owner's accounts.

        :param rows: ``None`` if the owner may admit nothing, or if its build
            does not know of accounts.
        :param instances: the number of instances that the owner knows.
        :return: the number of accounts that are out of range.
        """
        if instances > 0:
            self._instances = instances
        if rows is None:
            return 0
        self._heard_at = now
        known: dict[str, api.Account] = {}
        dropped: set[str] = set()
        for row in rows:
            if api.is_possible(row):
                known[row.tenant] = row
            else:
                dropped.add(row.tenant)
        for name, tenant in self._tenants.items():
            if name not in dropped:
                tenant.on_view(known.get(name))
        return len(dropped)

    def on_owner(self, leads: bool, now: float) -> None:
        """Record whether this instance is the owner now."""
        if leads and not self._leads:
            known = [
                tenant.account(name, now)
                for name, tenant in self._tenants.items()
            ]
            self._accounts.begin(known, self._members, now)
        self._leads = leads

    def on_load(
        self,
        member: str,
        rows: abc.Iterable[api.Usage],
        confirmed_at: float,
        now: float,
    ) -> int:
        """Charge an instance's usage, at the owner.

        :param confirmed_at: when the store last confirmed this owner.
        :return: the number of rows that are out of range.
        """
        return self._accounts.on_load(member, rows, confirmed_at, now)

    def view_rows(
        self, member: str, now: float
    ) -> tuple[api.Account, ...] | None:
        """Return the accounts for an instance, at the owner.

        :return: ``None`` if this owner may admit nothing.
        """
        return self._accounts.view_rows(member, now)

    def update_members(self, members: abc.Iterable[str]) -> None:
        """Set the members that the owner knows."""
        self._members = frozenset(members)
