"""Tests of the catalogue: what is refused, and what never changes."""

from __future__ import annotations

import itertools
import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from dogwoodquay.external import api as external_api
from dogwoodquay.records import catalog
from dogwoodquay.records import decode
from dogwoodquay.records import refusal
from dogwoodquay.records import schema
from dogwoodquay.records import state
from dogwoodquay.records import wire
from tests.unit.records import helpers as h

Reason = refusal.Reason


def _replay(*payloads: bytes) -> catalog.CatalogState:
    found = catalog.CatalogState()
    for offset, payload in enumerate(payloads):
        found.apply(offset, payload)
    return found


class RefusalTest(unittest.TestCase):
    """Each way to be refused, with its reason and its numbers."""

    def _refused(self, *payloads: bytes) -> catalog.RefusedRecord:
        """Return the refusal of the last record; the others must pass."""
        found = _replay(*payloads[:-1])
        self.assertEqual((), found.refused)
        before = msgspec.structs.replace(
            found.catalog, offset=len(payloads) - 1
        )
        outcome = found.apply(len(payloads) - 1, payloads[-1])
        self.assertIsInstance(outcome, catalog.RefusedRecord)
        self.assertEqual(before, found.catalog)
        return outcome

    def _check(
        self, reason: Reason, parts: tuple[str, ...], *payloads: bytes
    ) -> None:
        outcome = self._refused(*payloads)
        self.assertEqual(reason, outcome.reason, outcome.explanation)
        for part in parts:
            self.assertIn(part, outcome.explanation)

    def test_bytes_that_are_no_record(self) -> None:
        """Neither bad JSON nor bad UTF-8 nor deep nesting does harm."""
        for payload in (b'', b'{', b'\xff\xfe', b'[' * 100_000, b'[]', b'1'):
            with self.subTest(payload=payload[:8]):
                self._check(Reason.UNPARSABLE, (), payload)
        too_large = b' ' * (decode.MAX_RECORD_BYTES + 1)
        self._check(Reason.TOO_LARGE, ('262144',), too_large)

    def test_unknown_kind_version_and_field(self) -> None:
        """What is not known is named, with what is."""
        self._check(
            Reason.UNKNOWN_KIND,
            ('$.kind', '"modell"', 'model'),
            h.encode(kind='modell', name='m'),
        )
        self._check(
            Reason.UNKNOWN_VERSION,
            ('$.schema_version', '3', '1, 2'),
            h.model_v2(schema_version=3),
        )
        self._check(
            Reason.UNKNOWN_FIELD,
            ('$.min_replicas', '2', 'memory_gib'),
            h.pool(),
            h.model_v1(min_replicas=2),
        )

    def test_bad_value_in_a_list_is_found(self) -> None:
        """The path has the true index and the value."""
        servers = [h.server(1), {**h.server(2), 'port': 70_000}]
        self._check(
            Reason.BAD_VALUE,
            ('$.servers[1].port', '70000', '65535'),
            h.encode(kind='pool', name='p', servers=servers),
        )
        self._check(
            Reason.BAD_VALUE,
            ('$.name', 'm\\n'),
            h.model_v1(name='m\n'),
        )

    def test_references_have_to_resolve(self) -> None:
        """Each reference names where it is and what it wants."""
        self._check(Reason.UNRESOLVED, ('$.pool', '"p"'), h.model_v1())
        self._check(Reason.UNRESOLVED, ('$.base', '"m"'), h.adapter())
        self._check(
            Reason.UNRESOLVED,
            ('$.name', '"m"'),
            h.encode(kind='rollout', name='m', version='2', memory_bytes=1),
        )
        self._check(
            Reason.UNRESOLVED,
            ('$.targets[1]', '"x"'),
            h.encode(
                kind='caller',
                name='c',
                key_sha256='0' * 64,
                targets=['*', 'x'],
            ),
        )

    def test_claims_on_one_thing_clash(self) -> None:
        """A server, a name or a key belongs to one record."""
        self._check(
            Reason.CLASH,
            ('$.servers[0].server_id', '"s2"', 'pool p'),
            h.pool('p', (1, 2)),
            h.pool('q', (2, 3)),
        )
        self._check(
            Reason.CLASH,
            ('$.name', '"m"', 'model'),
            h.pool(),
            h.model_v1(),
            h.adapter('m'),
        )
        key = {'kind': 'caller', 'key_sha256': 'a' * 64}
        self._check(
            Reason.CLASH,
            ('$.key_sha256', 'caller c'),
            h.encode(name='c', **key),
            h.encode(name='d', **key),
        )

    def test_lost_race_is_told(self) -> None:
        """Two conditional records on one state: the first one wins."""
        self._check(
            Reason.LOST_RACE,
            ('$.expected_offset', '1', '2'),
            h.pool(),
            h.model_v2(),
            h.model_v2(expected_offset=1, min_replicas=2),
            h.model_v2(expected_offset=1, version='9'),
        )

    def test_withdrawing_what_is_referred_to(self) -> None:
        """The users are named; what is not declared cannot go."""
        start = (h.pool(), h.model_v1(), h.adapter())
        self._check(
            Reason.IN_USE, ('adapter a',), *start, h.withdraw('model', 'm')
        )
        self._check(
            Reason.NOT_DECLARED, ('"x"',), *start, h.withdraw('model', 'x')
        )

    def test_too_much_for_a_pool(self) -> None:
        """The numbers are given and what was reachable stays."""
        start = (h.pool(), h.model_v1('m', 60))
        self._check(
            Reason.DOES_NOT_FIT,
            (str(70 * h.GIB), str(160 * h.GIB)),
            *start,
            h.model_v1('n', 70),
        )
        self._check(
            Reason.DOES_NOT_FIT, ('pool p',), *start, h.pool('p', (1,))
        )
        self._check(
            Reason.DOES_NOT_FIT,
            ('m@1',),
            *start,
            h.model_v2('m', 60 * h.GIB, min_replicas=2),
        )

    def test_taking_less_is_never_refused_for_room(self) -> None:
        """A tight pool lets its models shrink and its servers grow."""
        found = _replay(
            h.pool('p', (1, 2)),
            h.model_v1('m', 40),
            h.model_v1('n', 40),
            h.model_v1('m', 39),
            h.pool('p', (1, 2, 3)),
            h.withdraw('model', 'n'),
        )
        self.assertEqual((), found.refused)

    def test_versions_of_one_artifact_have_one_size(self) -> None:
        """A rollout may end in the model's record, with its size."""
        rollout = h.encode(
            kind='rollout', name='m', version='2', memory_bytes=8 * h.GIB
        )
        start = (h.pool(), h.model_v1(), rollout)
        self._check(
            Reason.CLASH,
            ('$.memory_bytes', str(8 * h.GIB)),
            *start,
            h.model_v1('m', 9, version='2'),
        )
        found = _replay(*start, h.model_v1('m', 8, version='2'))
        self.assertEqual((), found.refused)


_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.just('x' * 100_000),
    st.sampled_from([[], {}, ['m'], [{}], '\ud800']),
)


class BadInputTest(unittest.TestCase):
    """Whatever is on the stream, replay goes on."""

    @settings(max_examples=300)
    @given(
        st.sampled_from(
            [
                h.pool(),
                h.model_v1(),
                h.model_v2(),
                h.adapter(),
                h.withdraw('model', 'm'),
            ]
        ),
        st.text(max_size=8),
        _VALUES,
        st.booleans(),
    )
    def test_any_field_may_hold_anything(
        self, payload: bytes, field: str, value: object, known: bool
    ) -> None:
        """No value stops the replay or makes a refusal large."""
        content = msgspec.json.decode(payload)
        if known:
            field = sorted(content)[len(field) % len(content)]
        content[field] = value
        found = _replay(h.pool(), h.model_v2())
        damaged = json.dumps(content).encode()
        outcome = found.apply(2, damaged)
        self.assertIsInstance(outcome, catalog.Outcome)
        if isinstance(outcome, catalog.RefusedRecord):
            self.assertLess(len(msgspec.json.encode(outcome)), 10_000)


class VersionTest(unittest.TestCase):
    """Old and new records side by side."""

    def test_old_writer_strips_nothing(self) -> None:
        """A rewrite in version 1 keeps what version 2 set."""
        size = 16 * h.GIB - 12_345
        newer = h.model_v2(size=size, min_replicas=2, tokens_per_second=9.0)
        found = _replay(h.pool(), newer, h.model_v1(version='7'))
        model = found.catalog.models['m']
        self.assertEqual('7', model.version)
        self.assertEqual(2, model.min_replicas)
        self.assertEqual(9.0, model.tokens_per_second)
        self.assertEqual(size, model.memory_bytes)
        found.apply(3, h.model_v1(gib=20))
        self.assertEqual(20 * h.GIB, found.catalog.models['m'].memory_bytes)

    @settings(max_examples=60)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just(1), st.integers(1, 30)),
                st.tuples(st.just(2), st.integers(1, 2)),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_newest_field_always_comes_from_a_newer_writer(
        self, writes: list[tuple[int, int]]
    ) -> None:
        """Whatever the order, only version 2 sets the replicas."""
        found = _replay(h.pool())
        replicas = 1
        for offset, (version, value) in enumerate(writes, start=1):
            if version == 2:
                replicas = value
                payload = h.model_v2(min_replicas=value)
            else:
                payload = h.model_v1(gib=value)
            outcome = found.apply(offset, payload)
            self.assertIsInstance(outcome, catalog.Accepted)
            model = found.catalog.models['m']
            self.assertEqual(replicas, model.min_replicas)


def _payloads() -> st.SearchStrategy[bytes]:
    names = st.sampled_from(['m', 'n', 'a'])
    gib = st.integers(1, 70)
    return st.one_of(
        st.builds(h.model_v1, names, gib),
        st.builds(
            lambda name, size, count: h.model_v2(
                name, size * h.GIB, min_replicas=count
            ),
            names,
            gib,
            st.integers(1, 3),
        ),
        st.builds(h.adapter, names, names),
        st.builds(
            h.pool,
            st.sampled_from(['p', 'q']),
            st.sampled_from([(1,), (1, 2), (2, 3), (3, 4)]),
        ),
        st.builds(
            h.withdraw, st.sampled_from(['model', 'adapter', 'pool']), names
        ),
        st.binary(max_size=20),
    )


class ReplayTest(unittest.TestCase):
    """The state is a function of the log alone."""

    @settings(max_examples=100)
    @given(st.lists(_payloads(), max_size=30), st.integers(0, 30))
    def test_checkpoint_and_tail_equal_full_replay(
        self, payloads: list[bytes], cut: int
    ) -> None:
        """Also for the refusals, and byte by byte."""
        entries = [
            external_api.LogEntry(offset, 0.0, payload)
            for offset, payload in enumerate(payloads)
        ]
        full = state.ConfigurationState()
        first = state.ConfigurationState()
        for entry in entries:
            full.apply(entry)
        for entry in entries[:cut]:
            first.apply(entry)
        second = state.ConfigurationState()
        second.restore(first.snapshot())
        for entry in entries[cut:]:
            second.apply(entry)
        self.assertEqual(full.snapshot(), second.snapshot())
        self.assertEqual(full.digest(), second.digest())
        self.assertEqual(full.catalog, second.catalog)

    @settings(max_examples=100)
    @given(st.lists(_payloads(), max_size=30))
    def test_refused_records_change_nothing(
        self, payloads: list[bytes]
    ) -> None:
        """The accepted ones alone lead to the same declarations."""
        found, accepted = catalog.CatalogState(), []
        for offset, payload in enumerate(payloads):
            outcome = found.apply(offset, payload)
            if isinstance(outcome, catalog.Accepted):
                accepted.append((offset, payload))
        again = catalog.CatalogState()
        for offset, payload in accepted:
            again.apply(offset, payload)
        self.assertEqual(found.stored, again.stored)
        self.assertEqual((), again.refused)

    def test_conflicting_records_in_either_order(self) -> None:
        """The earlier one is in force and the later one is told."""
        pair = (h.pool('p', (1, 2)), h.pool('q', (2, 3)))
        for first, second in itertools.permutations(pair):
            found = _replay(first, second)
            self.assertEqual(1, len(found.catalog.pools))
            self.assertEqual(1, found.refused[0].offset)

    def test_never_moves_to_a_lower_offset(self) -> None:
        """Neither an old entry nor an old snapshot has an effect."""
        old = state.ConfigurationState()
        old.apply(external_api.LogEntry(0, 0.0, h.pool('q', (7,))))
        new = state.ConfigurationState()
        for offset, payload in enumerate((h.pool(), h.model_v1())):
            new.apply(external_api.LogEntry(offset, 0.0, payload))
        before = new.snapshot()
        new.restore(old.snapshot())
        new.apply(external_api.LogEntry(0, 0.0, h.withdraw('model', 'm')))
        self.assertEqual(before, new.snapshot())

    def test_foreign_snapshot_is_refused(self) -> None:
        """A format of another release is not guessed at."""
        found = state.ConfigurationState()
        for snapshot in (b'', b'{"format":2,"offset":1}'):
            with self.assertRaises(state.BadSnapshot):
                found.restore(snapshot)

    def test_outcome_reaches_the_publisher(self) -> None:
        """A record's id comes back with its verdict."""
        found = state.ConfigurationState()
        payload = h.model_v1(record_id='r1')
        verdicts = found.apply(external_api.LogEntry(0, 0.0, payload))
        self.assertEqual([('r1', False, 0)], list(map(tuple, verdicts)))


class SchemaTest(unittest.TestCase):
    """The exported JSON Schemas."""

    def test_every_version_is_exported(self) -> None:
        """Each forbids unknown fields and fixes its version."""
        found = {item.name: item.content for item in schema.schemas()}
        count = sum(len(versions) for versions in wire.KINDS.values())
        self.assertEqual(count + 1, len(found))
        for content in found.values():
            self.assertIn(b'"additionalProperties": false', content)
        self.assertIn('model-v1.schema.json', found)
