"""Tests of the order of the instances that hold records."""

from __future__ import annotations

import collections
import typing
import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.gateway import holders
from dogwoodquay.gateway import messages

_Roster = tuple[messages.InstanceRow, ...]

_ROSTERS: typing.Final = strategies.dictionaries(
    strategies.sampled_from([f'front-{number}' for number in range(16)]),
    strategies.sampled_from(['d1', 'd2', 'd3']),
    max_size=16,
).map(lambda found: tuple(messages.InstanceRow(*row) for row in found.items()))
_IDS: typing.Final = strategies.text(max_size=20)


def _roster(count: int, domains: int = 7) -> _Roster:
    return tuple(
        messages.InstanceRow(
            f'front-{number}@h:{number}', f'd{number % domains}'
        )
        for number in range(count)
    )


def _order(roster: _Roster) -> holders.HolderOrder:
    order = holders.HolderOrder()
    order.update(roster)
    return order


class HolderOrderTest(unittest.TestCase):
    """Each instance finds the same holders of a stream's records."""

    @hypothesis.given(_ROSTERS, _IDS, strategies.randoms())
    def test_equal_on_all_instances(
        self, roster: _Roster, stream_id: str, rng: typing.Any
    ) -> None:
        """The order of the rows does not matter."""
        mixed = list(roster)
        rng.shuffle(mixed)
        self.assertEqual(
            _order(roster).asked(stream_id, ''),
            _order(tuple(mixed)).asked(stream_id, ''),
        )

    @hypothesis.given(strategies.lists(_ROSTERS, min_size=1, max_size=5), _IDS)
    def test_equal_after_other_rosters(
        self, rosters: list[_Roster], stream_id: str
    ) -> None:
        """What was computed for earlier rosters does not matter."""
        order = holders.HolderOrder()
        for roster in rosters:
            order.update(roster)
            order.asked(stream_id, '')
        expected = _order(rosters[-1])
        self.assertEqual(
            expected.asked(stream_id, ''), order.asked(stream_id, '')
        )
        self.assertEqual(
            expected.candidates(stream_id, '', 'd1'),
            order.candidates(stream_id, '', 'd1'),
        )

    def test_growing_roster(self) -> None:
        """Each new instance takes its place in the kept orders."""
        order = holders.HolderOrder()
        for count in range(1, 20):
            roster = _roster(count)
            order.update(roster)
            expected = _order(roster)
            for number in range(40):
                self.assertEqual(
                    expected.asked(f'id-{number}', ''),
                    order.asked(f'id-{number}', ''),
                )

    @hypothesis.given(_ROSTERS, _IDS)
    def test_first_candidate_in_another_domain(
        self, roster: _Roster, stream_id: str
    ) -> None:
        """The first one is in another domain if there is any."""
        domains = {row.member: row.failure_domain for row in roster}
        order = _order(roster)
        for member, domain in domains.items():
            found = order.candidates(stream_id, member, domain)
            self.assertNotIn(member, found)
            self.assertEqual(len(found), len(set(found)))
            self.assertGreaterEqual(len(found), min(2, len(roster) - 1))
            others = {domains[name] for name in found[:1]}
            expected = set(domains.values()) != {domain}
            self.assertEqual(expected, bool(others - {domain}))

    @hypothesis.given(_ROSTERS, _IDS)
    def test_first_candidates_are_asked(
        self, roster: _Roster, stream_id: str
    ) -> None:
        """Any other instance asks both holders, or is one."""
        order = _order(roster)
        for recorder in roster:
            found = order.candidates(
                stream_id, recorder.member, recorder.failure_domain
            )
            for asker in roster:
                if asker != recorder:
                    asked = order.asked(stream_id, asker.member)
                    self.assertNotIn(asker.member, asked)
                    missing = set(found[:2]) - {asker.member, *asked}
                    self.assertEqual(set(), missing)

    def test_differing_rosters(self) -> None:
        """One instance more or less leaves both holders among the asked."""
        roster = _roster(40)
        recorder = roster[0]
        order = _order(roster)
        for missing in (7, 19, 33):
            asker = _order(roster[:missing] + roster[missing + 1 :])
            for number in range(300):
                found = order.candidates(f'id-{number}', *_fields(recorder))
                asked = asker.asked(f'id-{number}', roster[1].member)
                expected = set(found[:2]) - {
                    roster[1].member,
                    roster[missing].member,
                }
                self.assertLessEqual(expected, set(asked))

    def test_balance(self) -> None:
        """Each of many instances holds about as many records."""
        roster = _roster(69)
        order = _order(roster)
        counts = collections.Counter(
            name
            for number in range(69_000)
            for name in order.candidates(
                f'id-{number}', *_fields(roster[number % 69])
            )[:2]
        )
        self.assertEqual(69, len(counts))
        self.assertLess(max(counts.values()), 2 * 2000)
        self.assertGreater(min(counts.values()), 2000 / 2)

    def test_no_roster(self) -> None:
        """Without a roster there is nobody to ask."""
        order = holders.HolderOrder()
        self.assertEqual([], order.asked('id', 'front-1'))
        self.assertEqual([], order.candidates('id', 'front-1', 'd1'))

    def test_writers(self) -> None:
        """Few instances write, the same ones for all rosters of a size."""
        for count, most in ((1, 1), (6, 1), (63, 1), (195, 4), (690, 11)):
            order, other = _order(_roster(count)), _order(_roster(count))
            first = collections.Counter(
                order.writers(f'id-{number}')[0] for number in range(4000)
            )
            self.assertLessEqual(len(first), most)
            self.assertLess(most / 2, len(first))
            self.assertEqual(order.writers('id-7'), other.writers('id-7'))
        self.assertEqual((), _order(()).writers('id-7'))

    def test_writers_of_another_roster(self) -> None:
        """A new roster replaces the writers."""
        order = _order(_roster(6))
        writer, *_ = order.writers('id-7')
        rest = tuple(r for r in _roster(6) if r.member != writer)
        order.update(rest)
        self.assertNotIn(writer, order.writers('id-7'))

    def test_unpaired_surrogate(self) -> None:
        """An identifier that is no valid text has holders as well."""
        self.assertNotEqual([], _order(_roster(3)).asked('\udc80', ''))


def _fields(row: messages.InstanceRow) -> tuple[str, str]:
    return row.member, row.failure_domain
