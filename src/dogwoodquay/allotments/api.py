"""Quotas of tenants, usage reports and the owner's accounts."""

from __future__ import annotations

import math
import typing

__all__ = [
    'Account',
    'Admitted',
    'Bounds',
    'Decision',
    'Quota',
    'Rejected',
    'Usage',
    'is_possible',
]

# The part of the tolerance that a level may hold beyond the burst. Requests
# that arrive at random need it; the rest covers the lag of views.
SPARE_SHARE: typing.Final = 0.4
# The seconds of the rate that it may be worth. The tolerance of a slow tenant
# may be as large as many seconds of its rate.
SPARE_SECONDS: typing.Final = 2.0
# Numbers of units above this are false.
MAX_UNITS: typing.Final = 1e15


class Quota(typing.NamedTuple):
    """A tenant's limit: units per second, and the most that is saved up."""

    rate: float
    burst: float


class Bounds(typing.NamedTuple):
    """How far the usage within a window may exceed a quota.

    It is at most (rate x window + burst) x (1 + ``over``) + ``slack`` units.
    """

    window_seconds: float = 0.0
    over: float = 0.0
    slack: float = 0.0

    def most(self, rate: float, burst: float) -> float:
        """Return the units that may run within a window."""
        base = rate * self.window_seconds + burst
        return base * (1.0 + self.over) + self.slack

    def quota(self, rate: float, burst: float) -> Quota:
        """Return a quota with a part of the tolerance in its burst."""
        base = rate * self.window_seconds + burst
        spare = SPARE_SHARE * (base * self.over + self.slack)
        return Quota(rate, burst + min(spare, SPARE_SECONDS * rate))


class Usage(typing.NamedTuple):
    """A tenant's usage at one instance, in units since the instance began.

    ``unsettled`` is what was admitted since the last load to which a view
    came back, so that no owner's level is known to contain it.
    """

    tenant: str
    asked: float
    admitted: float
    unsettled: float


class Account(typing.NamedTuple):
    """The owner's account of a tenant, as sent to one instance.

    ``asked`` is in units per second from all instances together, and ``part``
    the receiver's part of that; the parts of all instances add up to one.
    """

    tenant: str
    level: float
    asked: float
    part: float


class Admitted(typing.NamedTuple):
    """The request may run."""


class Rejected(typing.NamedTuple):
    """The request is over the quota."""

    retry_after_seconds: float


Decision = Admitted | Rejected


def is_possible(row: Usage | Account) -> bool:
    """Whether the figures of a peer can be true."""
    match row:
        case Usage(_, asked, admitted, unsettled):
            return (
                0.0 <= admitted <= asked <= MAX_UNITS
                and -asked <= unsettled <= asked
            )
        case Account(_, level, asked, part):
            return (
                math.isfinite(level)
                and 0.0 <= asked <= MAX_UNITS
                and 0.0 <= part <= 1.0
            )
