"""Tests of the requests that a limited server gets from all instances."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from . import world
from dogwoodquay.ratelimit import api
from dogwoodquay.ratelimit import core
from dogwoodquay.ratelimit import fallback
from dogwoodquay.ratelimit import followers
from dogwoodquay.ratelimit import grants

if typing.TYPE_CHECKING:
    from collections import abc

_SEEDS: typing.Final = range(1, 61)
_MEASURED_SECONDS: typing.Final = 20.0


class SlidingSumTest(unittest.TestCase):
    """Owners change, are frozen, cut off and believed in twice."""

    def test_sum_is_kept(self) -> None:
        """No window has more requests than the users allow."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual('', world.check(seed))


class UseTest(unittest.TestCase):
    """A limit is used where nothing fails."""

    def _use(self, instances: int, limit: float, demanding: int) -> float:
        """Return the used share of a limit."""
        subject = world.World(1, instances, limit, faults=False)
        for instance in subject.instances[:demanding]:
            instance.demand = 5
        subject.run(10.0 + _MEASURED_SECONDS)
        since = subject.now - _MEASURED_SECONDS
        recent = [at for at in subject.arrivals if at >= since]
        return len(recent) / (limit * _MEASURED_SECONDS)

    def test_callers_at_all_instances(self) -> None:
        """At least 0.7 of the limit is used."""
        for instances in (1, 3, 9, 65):
            for limit in (1.0, 2.5, 20.0):
                with self.subTest(instances=instances, limit=limit):
                    use = self._use(instances, limit, instances)
                    self.assertGreaterEqual(use, 0.7)

    def test_callers_at_one_instance(self) -> None:
        """At least 0.6 of the limit is used."""
        for instances in (3, 9, 65):
            for limit in (1.0, 2.5, 20.0):
                with self.subTest(instances=instances, limit=limit):
                    use = self._use(instances, limit, 1)
                    self.assertGreaterEqual(use, 0.6)


class _EverybodysFallback(fallback.Fallback):
    """Lets each instance go on without an owner."""

    def permits(self, server: api.ServerKey, rate: float, now: float) -> bool:
        return now >= self._since


class _ForgetfulGranter(grants.Granter):
    """Begins without the members of the earlier owner."""

    def begin(self, members: abc.Iterable[str], now: float) -> None:
        super().begin((), now)


class MutantTest(unittest.TestCase):
    """The check finds each part of the design that is left out."""

    def _assert_found(self, *patches: typing.Any) -> None:
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        found = any(world.check(seed) for seed in range(1, 301))
        self.assertTrue(found)

    def test_whole_limit_from_each_owner(self) -> None:
        """Two owners give out the limit twice."""
        self._assert_found(
            mock.patch.object(followers.Followers, 'share', lambda *_: 1.0)
        )

    def test_members_forgotten(self) -> None:
        """A new owner takes its first followers for all members."""
        self._assert_found(
            mock.patch.object(core.grant_module, 'Granter', _ForgetfulGranter)
        )

    def test_unconfirmed_owner_goes_on(self) -> None:
        """A lost owner outlives what the next one remembers."""
        self._assert_found(
            mock.patch.object(api, 'CONFIRMED_SECONDS', float('inf'))
        )

    def test_all_fall_back(self) -> None:
        """Each instance without an owner uses the part that one may use."""
        self._assert_found(
            mock.patch.object(core.fallback, 'Fallback', _EverybodysFallback)
        )

    def test_permits_without_end(self) -> None:
        """Permits that are kept are all used at once."""
        self._assert_found(mock.patch.object(api, 'PERMIT_SECONDS', 60.0))

    def test_large_bucket(self) -> None:
        """Permits that nobody wanted are saved up for long."""
        self._assert_found(mock.patch.object(grants, 'BURST_SECONDS', 5.0))
