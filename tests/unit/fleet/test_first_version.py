"""Tests of the software version at which a stream begins."""

from __future__ import annotations

import collections
import unittest

from . import entries
from dogwoodquay.fleet import api
from dogwoodquay.fleet import first_version

_STREAMS = [f'stream-{number}' for number in range(4000)]


class WeightsTest(unittest.TestCase):
    """The servers of each version that may begin a stream."""

    def test_model(self) -> None:
        """Those count that list the model and do not leave."""
        model = entries.loaded_model('m')
        listed = [
            entries.entry('s1', version='v1', models=(model,)),
            entries.entry('s2', version='v1', models=(model,)),
            entries.entry('s3', version='v2', models=(model,)),
            entries.entry('s4', version='v2'),
            entries.entry('s5', version='v2', service='other'),
            entries.entry(
                's6',
                version='v3',
                models=(model,),
                state=api.ServerState.LEAVING,
            ),
        ]
        counts = first_version.weights(listed, 'models', 'm')
        self.assertEqual({'v1': 2, 'v2': 1}, counts)
        counts = first_version.weights(listed, 'models', '')
        self.assertEqual({'v1': 2, 'v2': 2}, counts)


class ChoiceTest(unittest.TestCase):
    """Versions get streams in proportion to their servers."""

    def test_none(self) -> None:
        """Nothing is listed."""
        self.assertIsNone(first_version.choose('s', {}))

    def test_shares(self) -> None:
        """The order of the versions does not matter."""
        counts = {'v1': 3, 'v2': 1}
        turned = dict(reversed(counts.items()))
        chosen = collections.Counter(
            first_version.choose(name, counts) for name in _STREAMS
        )
        self.assertAlmostEqual(0.75, chosen['v1'] / len(_STREAMS), delta=0.03)
        for name in _STREAMS:
            self.assertEqual(
                first_version.choose(name, counts),
                first_version.choose(name, turned),
            )

    def test_change_of_a_count(self) -> None:
        """Streams only move to the version that has got a server."""
        for name in _STREAMS:
            before = first_version.choose(name, {'v1': 3, 'v2': 1})
            after = first_version.choose(name, {'v1': 3, 'v2': 2})
            self.assertIn(after, {before, 'v2'})

    def test_known_choices(self) -> None:
        """Instances of all builds and machines agree."""
        counts = {'v1': 1, 'v1.1': 1}
        chosen = [first_version.choose(f's{n}', counts) for n in range(8)]
        self.assertEqual(
            ['v1', 'v1.1', 'v1', 'v1', 'v1.1', 'v1', 'v1.1', 'v1.1'], chosen
        )
