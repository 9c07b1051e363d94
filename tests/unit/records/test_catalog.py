"""Tests of the catalog: refusals, versions, replay and schemas."""

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
    subject = catalog.CatalogState()
    for offset, payload in enumerate(payloads):
        subject.apply(offset, payload)
    return subject


class RefusalTest(unittest.TestCase):
    """Each reason for a refusal, and the explanation with it."""

    def _refused(self, *payloads: bytes) -> catalog.RefusedRecord:
        """Return the refusal of the last record; the others are accepted."""
        subject = _replay(*payloads[:-1])
        self.assertEqual((), subject.refused)
        before = msgspec.structs.replace(
            subject.catalog, offset=len(payloads) - 1
        )
        outcome = subject.apply(len(payloads) - 1, payloads[-1])
        self.assertIsInstance(outcome, catalog.RefusedRecord)
        self.assertEqual(before, subject.catalog)
        return outcome

    def _check(
        self, reason: Reason, parts: tuple[str, ...], *payloads: bytes
    ) -> None:
        outcome = self._refused(*payloads)
        self.assertEqual(reason, outcome.reason, outcome.explanation)
        for part in parts:
            self.assertIn(part, outcome.explanation)

    def test_unparsable_records(self) -> None:
        """Bad JSON, bad UTF-8, deep nesting and large records are refused."""
        for payload in (b'', b'{', b'\xff\xfe', b'[' * 100_000, b'[]', b'1'):
            with self.subTest(payload=payload[:8]):
                self._check(Reason.UNPARSABLE, (), payload)
        too_large = b' ' * (decode.MAX_RECORD_BYTES + 1)
        self._check(Reason.TOO_LARGE, ('262144',), too_large)

    def test_unknown_kind_version_and_field(self) -> None:
        """The explanation has the unknown value and the known ones."""
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

    def test_bad_value_is_located(self) -> None:
        """The explanation has the path, with list indexes, and the value."""
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

    def test_unresolved_references(self) -> None:
        """The explanation has the path of the reference and its name."""
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

    def test_duplicate_server_name_and_key(self) -> None:
        """A server, a name or a key can be used by one record only."""
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

    def test_conditional_record_loses_a_race(self) -> None:
        """Of two conditional records on one state, the first is applied."""
        self._check(
            Reason.LOST_RACE,
            ('$.expected_offset', '1', '2'),
            h.pool(),
            h.model_v2(),
            h.model_v2(expected_offset=1, min_replicas=2),
            h.model_v2(expected_offset=1, version='9'),
        )

    def test_withdrawal_of_a_referenced_or_unknown_record(self) -> None:
        """The explanation lists the referring records or the unknown name."""
        start = (h.pool(), h.model_v1(), h.adapter())
        self._check(
            Reason.IN_USE, ('adapter a',), *start, h.withdraw('model', 'm')
        )
        self._check(
            Reason.NOT_DECLARED, ('"x"',), *start, h.withdraw('model', 'x')
        )

    def test_pool_capacity_exceeded(self) -> None:
        """The explanation has the sizes; the catalog stays unchanged."""
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

    def test_smaller_demand_is_accepted_in_a_full_pool(self) -> None:
        """Models can shrink and servers be added while a pool is full."""
        subject = _replay(
            h.pool('p', (1, 2)),
            h.model_v1('m', 40),
            h.model_v1('n', 40),
            h.model_v1('m', 39),
            h.pool('p', (1, 2, 3)),
            h.withdraw('model', 'n'),
        )
        self.assertEqual((), subject.refused)

    def test_artifact_version_has_one_size(self) -> None:
        """A model may take over a rollout's version only with its size."""
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
        subject = _replay(*start, h.model_v1('m', 8, version='2'))
        self.assertEqual((), subject.refused)


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
    """Replay continues after any content of the stream."""

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
    def test_arbitrary_field_values(
        self, payload: bytes, field: str, value: object, known: bool
    ) -> None:
        """No value stops the replay or makes a refusal exceed 10 kB."""
        content = msgspec.json.decode(payload)
        if known:
            field = sorted(content)[len(field) % len(content)]
        content[field] = value
        subject = _replay(h.pool(), h.model_v2())
        damaged = json.dumps(content).encode()
        outcome = subject.apply(2, damaged)
        self.assertIsInstance(outcome, catalog.Outcome)
        if isinstance(outcome, catalog.RefusedRecord):
            self.assertLess(len(msgspec.json.encode(outcome)), 10_000)


class VersionTest(unittest.TestCase):
    """Records of several schema versions in one stream."""

    def test_old_version_keeps_newer_fields(self) -> None:
        """A record of version 1 keeps the fields set by version 2."""
        size = 16 * h.GIB - 12_345
        newer = h.model_v2(size=size, min_replicas=2, tokens_per_second=9.0)
        subject = _replay(h.pool(), newer, h.model_v1(version='7'))
        model = subject.catalog.models['m']
        self.assertEqual('7', model.version)
        self.assertEqual(2, model.min_replicas)
        self.assertEqual(9.0, model.tokens_per_second)
        self.assertEqual(size, model.memory_bytes)
        subject.apply(3, h.model_v1(gib=20))
        self.assertEqual(20 * h.GIB, subject.catalog.models['m'].memory_bytes)

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
    def test_newer_field_is_set_only_by_newer_version(
        self, writes: list[tuple[int, int]]
    ) -> None:
        """In any order of records, only version 2 sets the replicas."""
        subject = _replay(h.pool())
        replicas = 1
        for offset, (version, value) in enumerate(writes, start=1):
            if version == 2:
                replicas = value
                payload = h.model_v2(min_replicas=value)
            else:
                payload = h.model_v1(gib=value)
            outcome = subject.apply(offset, payload)
            self.assertIsInstance(outcome, catalog.Accepted)
            model = subject.catalog.models['m']
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
    """The state depends only on the log."""

    @settings(max_examples=100)
    @given(st.lists(_payloads(), max_size=30), st.integers(0, 30))
    def test_checkpoint_and_tail_equal_full_replay(
        self, payloads: list[bytes], checkpoint: int
    ) -> None:
        """Snapshots, with refusals, are equal byte by byte."""
        entries = [
            external_api.LogEntry(offset, 0.0, payload)
            for offset, payload in enumerate(payloads)
        ]
        full = state.ConfigurationState()
        checkpointed = state.ConfigurationState()
        for entry in entries:
            full.apply(entry)
        for entry in entries[:checkpoint]:
            checkpointed.apply(entry)
        restored = state.ConfigurationState()
        restored.restore(checkpointed.snapshot())
        for entry in entries[checkpoint:]:
            restored.apply(entry)
        self.assertEqual(full.snapshot(), restored.snapshot())
        self.assertEqual(full.digest(), restored.digest())
        self.assertEqual(full.catalog, restored.catalog)

    @settings(max_examples=100)
    @given(st.lists(_payloads(), max_size=30))
    def test_refused_records_change_nothing(
        self, payloads: list[bytes]
    ) -> None:
        """Replay of only the accepted records gives the same state."""
        subject, accepted = catalog.CatalogState(), []
        for offset, payload in enumerate(payloads):
            outcome = subject.apply(offset, payload)
            if isinstance(outcome, catalog.Accepted):
                accepted.append((offset, payload))
        replayed = catalog.CatalogState()
        for offset, payload in accepted:
            replayed.apply(offset, payload)
        self.assertEqual(subject.stored, replayed.stored)
        self.assertEqual((), replayed.refused)

    def test_conflicting_records_in_either_order(self) -> None:
        """The earlier record is applied and the later one is refused."""
        pair = (h.pool('p', (1, 2)), h.pool('q', (2, 3)))
        for first, second in itertools.permutations(pair):
            subject = _replay(first, second)
            self.assertEqual(1, len(subject.catalog.pools))
            self.assertEqual(1, subject.refused[0].offset)

    def test_older_entry_or_snapshot_has_no_effect(self) -> None:
        """The state does not return to a lower offset."""
        old = state.ConfigurationState()
        old.apply(external_api.LogEntry(0, 0.0, h.pool('q', (7,))))
        new = state.ConfigurationState()
        for offset, payload in enumerate((h.pool(), h.model_v1())):
            new.apply(external_api.LogEntry(offset, 0.0, payload))
        before = new.snapshot()
        new.restore(old.snapshot())
        new.apply(external_api.LogEntry(0, 0.0, h.withdraw('model', 'm')))
        self.assertEqual(before, new.snapshot())

    def test_unknown_snapshot_format_is_refused(self) -> None:
        """Restoring an empty snapshot or another format is an error."""
        subject = state.ConfigurationState()
        for snapshot in (b'', b'{"format":2,"offset":1}'):
            with self.assertRaises(state.SnapshotError):
                subject.restore(snapshot)

    def test_verdict_has_the_record_id(self) -> None:
        """Applying a record with an id returns a verdict with that id."""
        subject = state.ConfigurationState()
        payload = h.model_v1(record_id='r1')
        verdicts = subject.apply(external_api.LogEntry(0, 0.0, payload))
        self.assertEqual([('r1', False, 0)], list(map(tuple, verdicts)))


class SchemaTest(unittest.TestCase):
    """The exported JSON Schemas."""

    def test_every_version_is_exported(self) -> None:
        """Each kind and version has a schema that forbids unknown fields."""
        files = {item.name: item.content for item in schema.schemas()}
        count = sum(len(versions) for versions in wire.KINDS.values())
        self.assertEqual(count + 1, len(files))
        for content in files.values():
            self.assertIn(b'"additionalProperties": false', content)
        self.assertIn('model-v1.schema.json', files)
