"""Tests of the records that outlive the instances."""

from __future__ import annotations

import unittest
from unittest import mock

from dogwoodquay.quarantine import api
from dogwoodquay.quarantine import core
from dogwoodquay.quarantine import evidence
from dogwoodquay.quarantine import probes as verdict_probes
from dogwoodquay.quarantine import records

_NOW = 1_000_000.0


def _crash(
    server_id: str, at: float, *requests: tuple[str, ...]
) -> api.CrashReport:
    """Return a crash; of each request the last part is its own."""
    broken = tuple(
        api.BrokenRequest(parts[-1], frozenset(parts[:-1]))
        for parts in requests
    )
    return api.CrashReport(server_id, at, broken)


def _kept(*crashes: api.CrashReport) -> records.Kept:
    return records.Kept((), crashes)


class CodecTest(unittest.TestCase):
    """Records hold what they were made of."""

    def test_round_trip(self) -> None:
        """Times of verdicts are those of their step at the latest."""
        crash = _crash('s1', _NOW - 9.0, ('a', 'b', 'own'), ('a', 'other'))
        verdict = api.Verdict(frozenset({'a', 'b'}), _NOW - 100.0, 3)
        encoded = records.encode(records.Kept((verdict,), (crash,)))
        self.assertEqual(2, len(encoded))
        kept, errors = records.decode(encoded.values(), _NOW)
        self.assertEqual((), errors)
        self.assertEqual(verdict.parts, kept.verdicts[0].parts)
        since = kept.verdicts[0].seen_at - verdict.seen_at
        self.assertLessEqual(0.0, since)
        self.assertLessEqual(since, records.SEEN_STEP_SECONDS)
        self.assertEqual(set(crash.requests), set(kept.crashes[0].requests))

    def test_same_record(self) -> None:
        """The order of requests and a later request change nothing."""
        requests = [('a', f'own-{number}') for number in range(5)]
        verdict = api.Verdict(frozenset({'a'}), _NOW, 3)
        first = records.Kept((verdict,), (_crash('s1', _NOW, *requests),))
        second = records.Kept(
            (verdict._replace(seen_at=_NOW + 1.0),),
            (_crash('s1', _NOW, *reversed(requests)),),
        )
        self.assertEqual(records.encode(first), records.encode(second))

    def test_processes_of_one_server(self) -> None:
        """Each crash has a record of its own."""
        crash = _crash('s1', _NOW, ('a', 'own'))
        crashes = [
            crash,
            crash._replace(at=_NOW - 9.0),
            crash._replace(started_ms=5),
        ]
        encoded = records.encode(_kept(*crashes))
        kept, _ = records.decode(encoded.values(), _NOW)
        self.assertEqual(set(crashes), set(kept.crashes))

    def test_probes(self) -> None:
        """What is left of a verdict's probes is kept."""
        verdicts = tuple(
            api.Verdict(frozenset({name}), _NOW, 3) for name in 'abc'
        )
        probes = (
            verdict_probes.Probe(
                frozenset({'a'}), frozenset({'d'}), 1, 1, 'front-1'
            ),
            verdict_probes.Probe(frozenset({'b'})),
        )
        encoded = records.encode(records.Kept(verdicts, (), probes))
        kept, _ = records.decode(encoded.values(), _NOW)
        found = {
            probe.parts: (probe.rivals, probe.left) for probe in kept.probes
        }
        self.assertEqual(
            {
                frozenset({'a'}): (frozenset({'d'}), 1),
                frozenset({'b'}): (frozenset(), 2),
                frozenset({'c'}): (frozenset(), 0),
            },
            found,
        )

    def test_unreadable(self) -> None:
        """The others are read."""
        encoded = records.encode(_kept(_crash('s1', _NOW, ('a', 'own'))))
        kept, errors = records.decode((b'\xff', *encoded.values()), _NOW)
        self.assertEqual(1, len(kept.crashes))
        self.assertEqual(1, len(errors))

    def test_times_to_come(self) -> None:
        """A clock that was ahead keeps nothing for longer."""
        encoded = records.encode(_kept(_crash('s1', _NOW + 99.0, ('a', 'o'))))
        kept, _ = records.decode(encoded.values(), _NOW)
        self.assertEqual(_NOW, kept.crashes[0].at)

    def test_size(self) -> None:
        """Requests are left out of a record that is too large."""
        parts = [f'{number:064}' for number in range(16)]
        requests = [(*parts, f'own-{number}') for number in range(200)]
        encoded = records.encode(_kept(_crash('s1', _NOW, *requests)))
        (value,) = encoded.values()
        self.assertLessEqual(len(value), records.MAX_RECORD_BYTES)
        kept, _ = records.decode((value,), _NOW)
        self.assertGreater(len(kept.crashes[0].requests), 10)


class RecordSetTest(unittest.TestCase):
    """Only changes are written."""

    def setUp(self) -> None:
        """Begin with two records in the store."""
        self.subject = records.RecordSet()
        self.subject.on_read({'a': b'1', 'b': b'2'})

    def test_changes(self) -> None:
        """New and changed records are due, others to be deleted."""
        wanted = {'a': b'1', 'b': b'3', 'c': b'4'}
        due = self.subject.changes(wanted, deletes=True)
        self.assertEqual({'b': b'3', 'c': b'4'}, due)
        self.subject.on_written(due)
        self.assertEqual({}, self.subject.changes(wanted, deletes=True))
        due = self.subject.changes({}, deletes=True)
        self.assertEqual({'a': b'', 'b': b'', 'c': b''}, due)
        self.subject.on_written(due)
        self.assertEqual({}, self.subject.changes({}, deletes=True))

    def test_no_deletions(self) -> None:
        """Who is not the owner does not know all that is wanted."""
        self.assertEqual({}, self.subject.changes({}, deletes=False))

    def test_size_of_a_call(self) -> None:
        """The rest is due after the call."""
        wanted = {f'{number}': bytes(99) for number in range(5)}
        with mock.patch.object(records, 'MAX_CALL_BYTES', 250):
            due = self.subject.changes(wanted, deletes=False)
            self.assertEqual(['0', '1'], list(due))
            self.subject.on_written(due)
            due = self.subject.changes(wanted, deletes=False)
            self.assertEqual(['2', '3'], list(due))


class RestartTest(unittest.TestCase):
    """What is kept acts in the next processes as it did before (BUDGET)."""

    def setUp(self) -> None:
        """Begin without evidence."""
        self.now = _NOW
        self.quarantine = core.Quarantine('front-0')

    def _restart(self) -> None:
        """Replace the instance by one that knows the records alone."""
        encoded = records.encode(self.quarantine.kept)
        kept, _ = records.decode(encoded.values(), self.now)
        self.quarantine = core.Quarantine('front-0')
        self.quarantine.restore(kept, self.now)

    def _crash(self, server_id: str, *requests: tuple[str, ...]) -> None:
        self.quarantine.on_crash(_crash(server_id, self.now, *requests))

    def _decide(self) -> list[frozenset[str]]:
        self.quarantine.step(self.now, decides=True)
        self.now += 1.1 * core.HEARING_SECONDS
        self.quarantine.step(self.now, decides=True)
        return [item.parts for item in self.quarantine.verdicts]

    def test_verdict(self) -> None:
        """Requests are refused from the start on."""
        for number in range(3):
            self._crash(f's{number}', ('bad', f'own-{number}'))
        self._decide()
        self._restart()
        traits = api.traits_of(('bad', 'other'))
        self.assertIsNotNone(self.quarantine.find(traits, self.now))

    def test_crashes_before_and_after(self) -> None:
        """They are joined to a verdict."""
        for number in range(2):
            self._crash(f's{number}', ('bad', f'own-{number}'))
            self._restart()
        self._decide()
        traits = api.traits_of(('bad', 'other'))
        self.assertTrue(self.quarantine.is_suspect(traits))
        self._crash('s2', ('bad', 'own-2'))
        self.assertEqual([frozenset({'bad'})], self._decide())

    def test_no_verdict_by_records_alone(self) -> None:
        """What had answers before is not known after the restart."""
        for number in range(3):
            self._crash(f's{number}', ('first', f'own-{number}'))
        self._restart()
        self.assertEqual([], self._decide())

    def test_sound_part(self) -> None:
        """A part that had an answer is not kept as suspicious."""
        traits = api.traits_of(('first', 'own'))
        assert traits is not None
        for number in range(3):
            self._crash(f's{number}', ('first', f'own-{number}'))
        self.quarantine.on_answered(traits, self.now)
        self.assertEqual((), self.quarantine.kept.crashes)

    def test_old_crashes(self) -> None:
        """They are forgotten, and no longer kept."""
        self._crash('s0', ('bad', 'own'))
        self.now += evidence.EVIDENCE_SECONDS + 1.0
        self._restart()
        self._decide()
        self.assertEqual((), self.quarantine.kept.crashes)

    def test_revision(self) -> None:
        """It rises with what is kept, and not with repeated reports."""
        self._crash('s0', ('bad', 'own'))
        revision = self.quarantine.revision
        report = _crash('s0', self.now, ('bad', 'own'))
        for _ in range(3):
            self.quarantine.on_peer_reports([report], (), (), self.now)
        self.assertEqual(revision, self.quarantine.revision)
        self._crash('s1', ('bad', 'own'))
        self.assertLess(revision, self.quarantine.revision)
