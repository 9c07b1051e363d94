"""Admits a tenant's requests while no owner's view is at hand."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['ALONE_SECONDS', 'ASSUMED_INSTANCES', 'LocalBucket']

# Without a view for so long, an instance falls back.
ALONE_SECONDS: typing.Final = 1.0
# Instances that are assumed to run before a view has told their number.
ASSUMED_INSTANCES: typing.Final = 64


class LocalBucket:
    """An instance's part of a quota, kept without any other instance.

    The parts of all instances add up to one, and the bucket begins with this
    instance's part of the last known level less what it has admitted since,
    so that all buckets together continue the owner's.
    """

    def __init__(self, level: float, part: float, now: float) -> None:
        self._part = part
        self._level = level
        self._refilled_at = now

    def level(self, quota: api.Quota, now: float) -> float:
        """Return the refilled level, which may be negative."""
        elapsed = now - self._refilled_at
        if elapsed > 0.0:
            self._level += quota.rate * self._part * elapsed
            self._refilled_at = now
        self._level = min(self._level, quota.burst * self._part)
        return self._level

    def admits(
        self, units: float, quota: api.Quota, phase: float, now: float
    ) -> bool:
        """Whether a request may run.

        A part may be less than one request. It is admitted above a random
        fraction of its units, so that the sum over many instances is right.

        :param phase: the random fraction, above zero and up to one.
        """
        return self.level(quota, now) >= units * phase

    def charge(self, units: float) -> None:
        """Remove units, or return them if negative."""
        self._level -= units
