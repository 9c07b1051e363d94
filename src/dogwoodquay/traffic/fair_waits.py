"""Gives waiting requests of tenants their places in a fair order."""

from __future__ import annotations

import typing

from ..allotments import fairness
from . import tenant_accounts

if typing.TYPE_CHECKING:
    from ..fleet import queue
    from ..gateway import api

__all__ = ['FairWaits']

# Orders that are remembered.
MAX_ORDERS: typing.Final = 1024
# Weight of a request in the usual cost, in seconds of a tenant's quota.
COST_WEIGHT: typing.Final = 0.05

_Key = tuple[str, str, int]


class FairWaits:
    """The fair orders of requests by service, model and priority.

    Requests without a tenant share one flow, and count as much as usual ones
    of tenants. Where no request has a tenant all tags are the same.
    """

    def __init__(self) -> None:
        self._orders: dict[_Key, fairness.FairOrder] = {}
        self._usual_cost = 0.0

    def tag(self, call: api.Call, priority: int) -> float:
        """Return the tag of a request that begins to wait."""
        if call.tenant is None and not self._orders:
            return 0.0
        key = (call.service, call.terms.model, priority)
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_ORDERS:
                del self._orders[next(iter(self._orders))]
            order = self._orders[key] = fairness.FairOrder()
        flow, cost, weight = self._flow(call)
        if call.tenant is not None:
            self._usual_cost += COST_WEIGHT * (
                cost / weight - self._usual_cost
            )
        return order.tag(flow, cost, weight)

    def served(self, ticket: queue.Ticket) -> None:
        """Record that a waiting request has got a server."""
        need = ticket.need
        key = (need.service, need.model, ticket.priority)
        order = self._orders.get(key)
        if order is not None:
            order.served(ticket.fair_tag)

    def withdrawn(self, call: api.Call, priority: int) -> None:
        """Record that a request has left without a server."""
        key = (call.service, call.terms.model, priority)
        order = self._orders.get(key)
        if order is not None:
            order.withdrawn(*self._flow(call))

    def _flow(self, call: api.Call) -> tuple[str, float, float]:
        """Return the flow, cost and weight of a request."""
        tenant = call.tenant
        if tenant is None:
            return '', self._usual_cost, 1.0
        if not tenant.rate:
            return tenant.name, self._usual_cost, 1.0
        units = tenant_accounts.units_of(tenant, call.terms)
        return tenant.name, units, tenant.rate
