"""Admits the share of a tenant's requests that its quota has room for."""

from __future__ import annotations

import typing

from . import api
from . import fallback

if typing.TYPE_CHECKING:
    import random

__all__ = ['HORIZON_SECONDS', 'TenantAdmission']

# The time over which a level is used up. With 2 s or more, slow tenants within
# their rate are refused requests; 0.1 to 1 s differ little.
HORIZON_SECONDS: typing.Final = 0.6
# Requests of usual size beyond the expected ones that count as chance.
CHANCE_REQUESTS: typing.Final = 2.0
# The least time over which this instance's own demand is estimated.
OWN_DEMAND_SECONDS: typing.Final = 0.5
# Bounds of the time until a caller may return.
MIN_RETRY_SECONDS: typing.Final = 0.25
MAX_RETRY_SECONDS: typing.Final = 10.0
# An account is reported for so long after its last request.
ACTIVE_SECONDS: typing.Final = 2.0
# Weight of a request in the usual size.
SIZE_WEIGHT: typing.Final = 0.1


class TenantAdmission:
    """One tenant at one instance."""

    def __init__(
        self, quota: api.Quota, rng: random.Random, now: float
    ) -> None:
        self._quota = quota
        self._rng = rng
        # Counters since the start, and their values at the last load and at
        # the last load that was answered by a view.
        self._asked = 0.0
        self._admitted = 0.0
        self._sent = (0.0, 0.0, now)
        self._settled = (0.0, 0.0, now)
        # The last account, true as of the load that it answered.
        self._level = 0.0
        self._level_at = now
        self._all_asked = 0.0
        self._part: float | None = None
        self._share_then = 1.0
        # Units that the share has granted and no request has used.
        self._carry = 0.0
        self._carried = False
        self._phase = 1.0 - rng.random()
        self._size = 0.0
        # Refunded units, which the next requests ask for again.
        self._refunded = 0.0
        self._active_at = float('-inf')
        self._local: fallback.LocalBucket | None = None

    def configure(self, quota: api.Quota, now: float) -> None:
        """Replace the quota; the level is capped at the new burst."""
        self._level = min(self._refilled(now), quota.burst)
        self._level_at = max(self._level_at, now)
        self._quota = quota

    def account(self, tenant: str, now: float) -> api.Account:
        """Return what is known of the account, without recent usage.

        The unsettled usage is in the reports of all instances, and the level
        is not capped before these are charged.
        """
        elapsed = max(0.0, now - self._level_at)
        level = self._level + self._quota.rate * elapsed
        return api.Account(tenant, level, self._all_asked, self._part or 0.0)

    def usage(self, tenant: str, now: float) -> api.Usage | None:
        """Return the counters for a load, ``None`` if nothing is new."""
        self._sent = (self._asked, self._admitted, now)
        unsettled = self._admitted - self._settled[1]
        if now - self._active_at > ACTIVE_SECONDS and not unsettled:
            return None
        return api.Usage(tenant, self._asked, self._admitted, unsettled)

    def on_view(self, account: api.Account | None) -> None:
        """Apply the account that answers the last load.

        :param account: ``None`` for a tenant without traffic anywhere, whose
            level refills.
        """
        at = self._sent[2]
        if account is None:
            # An owner that does not know the tenant yet charges nothing.
            own = self._sent[1] - self._settled[1]
            level = self._refilled(at) - own
            self._all_asked = 0.0
            self._part = None
        else:
            level = min(account.level, self._quota.burst)
            self._all_asked = account.asked
            self._part = account.part
        self._settled = self._sent
        self._level = level
        self._level_at = at
        self._local = None
        self._share_then = self._share_of(level, self._all_asked)

    def share(self, now: float) -> float:
        """Return the share of arrivals that is admitted now."""
        return self._share_of(*self._estimate(now))

    def admit(self, units: float, now: float) -> bool:
        """Count a request; return whether it is admitted."""
        self._record_asked(units, now)
        share = self.share(now)
        if share >= 1.0:
            admitted = True
        elif share <= 0.0:
            admitted = False
        else:
            if not self._carried:
                # All instances begin at different points, so that their sum
                # follows the share from the first request on.
                self._carried = True
                self._carry = units * (self._rng.random() - 0.5)
            self._carry += share * units
            admitted = self._carry >= 0.5 * units
            if admitted:
                self._carry -= units
            self._carry = max(-units, min(self._carry, units))
        if admitted:
            self._admitted += units
        return admitted

    def admit_alone(self, units: float, instances: int, now: float) -> bool:
        """Count a request without a view; return whether it is admitted.

        :param instances: the number of instances, as far as it is known.
        """
        self._record_asked(units, now)
        local = self._local_bucket(instances, now)
        if not local.admits(units, self._quota, self._phase, now):
            return False
        self._phase = 1.0 - self._rng.random()
        local.charge(units)
        self._admitted += units
        return True

    def refund(self, units: float) -> None:
        """Return the units of a request that did not run.

        They do not count as demand either: callers whose requests are refused
        for another reason return, and would make their tenant look greedy.
        """
        self._admitted = max(0.0, self._admitted - units)
        self._refunded += units
        if self._local is not None:
            self._local.charge(-units)

    def retry_after(self, units: float, now: float) -> float:
        """Return the time until a refused caller may return.

        The more is asked beyond the rate, the later.
        """
        rate = self._quota.rate
        if rate <= 0.0:
            return MAX_RETRY_SECONDS
        level, asked = self._estimate(now)
        seconds = max(
            MIN_RETRY_SECONDS * max(1.0, asked / rate), (units - level) / rate
        )
        return min(seconds, MAX_RETRY_SECONDS)

    def _record_asked(self, units: float, now: float) -> None:
        self._active_at = now
        repeated = min(units, self._refunded)
        self._refunded -= repeated
        self._asked += units - repeated
        if not self._size:
            self._size = units
        self._size += SIZE_WEIGHT * (units - self._size)

    def _refilled(self, now: float) -> float:
        elapsed = max(0.0, now - self._level_at)
        return min(self._quota.burst, self._level + self._quota.rate * elapsed)

    def _share_of(self, level: float, asked: float) -> float:
        """Return the share for a level and units asked per second."""
        rate = self._quota.rate
        room = rate + level / HORIZON_SECONDS
        if rate <= 0.0 or room <= 0.0:
            return 0.0
        return min(1.0, room / asked) if asked > 0.0 else 1.0

    def _estimate(self, now: float) -> tuple[float, float]:
        """Return the level and the units asked per second of all instances.

        What others ask for is that of the last view, and more if this
        instance's own demand has risen since by more than chance.
        """
        elapsed = max(0.0, now - self._level_at)
        own_asked = self._asked - self._settled[0]
        own_admitted = self._admitted - self._settled[1]
        part = self._part or 0.0
        chance = max(1.0, CHANCE_REQUESTS * self._size)
        expected = self._all_asked * part * elapsed
        rise = max(1.0, (own_asked + chance) / (expected + chance))
        others = self._all_asked * (1.0 - part) * rise
        level = self._refilled(now) - own_admitted
        level -= others * self._share_then * elapsed
        own_rate = own_asked / max(elapsed, OWN_DEMAND_SECONDS)
        return level, max(self._all_asked, others + own_rate)

    def _local_bucket(
        self, instances: int, now: float
    ) -> fallback.LocalBucket:
        if self._local is None:
            part = self._part
            if part is None:
                part = 1.0 / max(1, instances)
            own = self._admitted - self._settled[1]
            level = self._refilled(now) * part - own
            self._local = fallback.LocalBucket(level, part, now)
        return self._local
