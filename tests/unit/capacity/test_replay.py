"""Replays of the load at services with unequal and changing servers.

Late shares are compared with those of fixed weights and with an oracle. The
target is set by the design page: no worse than fixed weights anywhere, and
at least half of the distance to the oracle where speeds are unequal.
"""

from __future__ import annotations

import typing
import unittest

from . import replay

# Three standard deviations of a share of 1 % of 2,000 requests.
NOISE: typing.Final = 0.007
_SERVER = replay.SimulatedServer
_SECONDS: typing.Final = 20.0


def _mixed(**changes: typing.Any) -> list[replay.SimulatedServer]:
    speeds = (0.6, 1.0, 1.6, 1.0)
    return [replay.SimulatedServer(item, **changes) for item in speeds]


class _ReplayCase(unittest.TestCase):
    def compare(
        self,
        make: typing.Callable[[], list[replay.SimulatedServer]],
        unequal: bool = True,
        **changes: typing.Any,
    ) -> replay.Result:
        """Check the target and return the result of the learned choice."""
        load = replay.Load(**{'rate': 150.0, 'seconds': _SECONDS, **changes})
        fixed = replay.replay(make(), load, 'fixed')
        oracle = replay.replay(make(), load, 'oracle')
        learned = replay.replay(make(), load, 'learned')
        print(
            f'{self._testMethodName}: late {fixed.late:.4f} with fixed'
            f' weights, {learned.late:.4f} learned, {oracle.late:.4f} oracle'
        )
        self.assertLessEqual(learned.late, fixed.late + NOISE)
        if unequal:
            middle = (fixed.late + oracle.late) / 2
            self.assertLessEqual(learned.late, middle + NOISE)
        return learned


class SpeedTest(_ReplayCase):
    """Equal weights overload the slow servers of a service."""

    def test_three_speeds(self) -> None:
        """Sixty instances learn the speeds from a few requests each."""
        learned = self.compare(_mixed)
        self.assertLess(learned.sent[2], learned.sent[1])
        self.assertLess(learned.sent[1], learned.sent[0])

    def test_high_demand(self) -> None:
        """Herding shows when there is little room."""
        self.compare(_mixed, rate=200.0)

    def test_low_demand(self) -> None:
        """A slow server is not needed, but tried now and then."""
        learned = self.compare(_mixed, rate=60.0)
        self.assertGreater(learned.sent[2], 0)

    def test_two_speeds(self) -> None:
        """One of two servers is almost three times as fast.

        In half of the time, two servers have too few slow periods for shares
        to be compared.
        """
        self.compare(
            lambda: [_SERVER(0.6), _SERVER(1.6)], rate=70.0, seconds=40.0
        )

    def test_equal_speeds(self) -> None:
        """Learning must not make differences that do not exist."""
        self.compare(lambda: [_SERVER() for _ in range(4)], slow_share=0.0)

    def test_one_instance(self) -> None:
        """An instance that knows all requests must not spread them."""
        self.compare(_mixed, unequal=False, instances=1)

    def test_cold_start(self) -> None:
        """The first requests count, when nothing has been learned."""
        self.compare(_mixed, warm_seconds=0.0, seconds=10.0)

    def test_owner_lost(self) -> None:
        """Own samples alone are better than fixed weights."""
        self.compare(_mixed, owner_lost_at=8.0)

    def test_long_requests(self) -> None:
        """Engines with twelve slots run requests for seconds."""
        self.compare(
            lambda: _mixed(slots=12),
            rate=16.0,
            service_seconds=2.0,
            objective=4.0,
            seconds=120.0,
            slow_share=0.0,
        )

    def test_overload(self) -> None:
        """Where all are too slow, nobody is starved of requests."""
        learned = self.compare(_mixed, unequal=False, rate=280.0)
        self.assertGreater(min(learned.sent), 100)


class ChangeTest(_ReplayCase):
    """Servers that become slower or faster."""

    def _changed(
        self, begin: float, end: float, stated: bool = True
    ) -> list[replay.SimulatedServer]:
        servers = [_SERVER() for _ in range(4)]
        servers[0].slow_between = (begin, end)
        servers[0].states_slowness = stated
        return servers

    def test_knee(self) -> None:
        """Two servers become slow at 60 % of their slots."""
        self.compare(
            lambda: [_SERVER(knee=4), _SERVER(knee=4), _SERVER(), _SERVER()],
            rate=130.0,
        )

    def test_slow_for_one_period(self) -> None:
        """A machine is shared for 600 ms, as all are 15 % of the time."""
        self.compare(lambda: self._changed(9.0, 9.6))

    def test_stays_slow(self) -> None:
        """A server becomes slow for good and states so."""
        self.compare(lambda: self._changed(6.0, 99.0), warm_seconds=6.0)

    def test_stays_slow_unstated(self) -> None:
        """It states the usual pace; only its latency shows it."""
        self.compare(
            lambda: self._changed(6.0, 99.0, stated=False),
            slow_share=0.0,
            warm_seconds=8.0,
        )

    def test_recovered(self) -> None:
        """A server that was slow for seconds gets its share again."""
        learned = replay.replay(
            self._changed(4.0, 10.0, stated=False),
            replay.Load(
                150.0, seconds=24.0, slow_share=0.0, warm_seconds=16.0
            ),
            'learned',
        )
        self.assertLessEqual(learned.late, NOISE)
        self.assertGreater(learned.sent_late[0], sum(learned.sent_late) / 8)

    def test_all_slow_at_once(self) -> None:
        """Where all are slow for 2 s, none is starved for it."""

        def make() -> list[replay.SimulatedServer]:
            return [_SERVER(slow_between=(9.0, 11.0)) for _ in range(4)]

        learned = self.compare(make, unequal=False, rate=100.0)
        self.assertGreater(min(learned.sent), sum(learned.sent) / 8)
