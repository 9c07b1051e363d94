"""Tests of choosing the server for a request."""

from __future__ import annotations

import random
import unittest

from . import entries
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import server as servers


def _choose(
    candidates: list[servers.Server],
    need: choice.Need,
    now: float = 1.0,
    capacity: float = 4.0,
    seed: int = 3,
) -> str:
    chosen = choice.choose(
        candidates, need, 'd1', lambda _: capacity, now, random.Random(seed)
    )
    return chosen.entry.server_id if chosen else ''


class ChooseTest(unittest.TestCase):
    """The least loaded server that can run the request is chosen."""

    def test_model_and_adapter_are_loaded(self) -> None:
        """A server without the adapter is not chosen."""
        with_adapter = entries.make_server(
            'with', models=(entries.loaded_model('m', 'a1'),)
        )
        without = entries.make_server(
            'without', models=(entries.loaded_model('m'),)
        )
        need = choice.Need('models', 'm', 'a1')
        self.assertEqual('with', _choose([without, with_adapter], need))
        self.assertEqual('', _choose([without], need))

    def test_full_server(self) -> None:
        """A server that other instances have filled is not chosen."""
        full, free = entries.make_server('full'), entries.make_server('free')
        full.update_load(4, 1.0)
        need = choice.Need('models')
        self.assertEqual('free', _choose([full, free], need))
        self.assertEqual('', _choose([full], need))

    def test_successor(self) -> None:
        """Only a healthy server without a failure is better than none."""
        need = choice.Need('models', avoid=frozenset({'a'}), successor=True)
        first, other = entries.make_server('a'), entries.make_server('b')
        self.assertEqual('', _choose([first], need))
        self.assertEqual('b', _choose([first, other], need))
        for _ in range(servers.EJECT_AFTER):
            other.failed(1.0)
        self.assertEqual('', _choose([first, other], need))
        need = need._replace(successor=False)
        self.assertEqual('a', _choose([first, other], need))

    def test_ties_are_broken_at_random(self) -> None:
        """Instances that see the same load choose different servers."""
        need = choice.Need('models')
        chosen = {
            _choose(
                [entries.make_server('a'), entries.make_server('b')],
                need,
                seed=seed,
            )
            for seed in range(20)
        }
        self.assertEqual({'a', 'b'}, chosen)

    def test_failures_add_cost(self) -> None:
        """A server with failures loses to a busier one without."""
        flaky, healthy = (
            entries.make_server('flaky'),
            entries.make_server('healthy'),
        )
        for _ in range(4):
            flaky.failed(0.0)
            flaky.succeeded(0.1)
        healthy.begin()
        need = choice.Need('models')
        self.assertEqual('healthy', _choose([flaky, healthy], need))

    def test_ejected_server_is_better_than_none(self) -> None:
        """An ejected server is chosen only if there is no other."""
        bad = entries.make_server('bad')
        for _ in range(servers.EJECT_AFTER):
            bad.failed(1.0)
        need = choice.Need('models')
        self.assertEqual('bad', _choose([bad], need, now=1.1))
        other = entries.make_server('other')
        other.begin()
        self.assertEqual('other', _choose([bad, other], need, now=1.1))

    def test_unreachable_server_is_not_tried(self) -> None:
        """An unreachable server is not chosen even if there is no other."""
        unreachable = entries.make_server('unreachable')
        unreachable.failed(1.0, unreachable=True)
        need = choice.Need('models')
        self.assertEqual('', _choose([unreachable], need, now=1.1))
        later = 1.0 + servers.EJECT_SECONDS
        self.assertEqual(
            'unreachable', _choose([unreachable], need, now=later)
        )

    def test_retry_goes_to_another_server(self) -> None:
        """A retry avoids the server that failed if there is another one."""
        first, second = (
            entries.make_server('first'),
            entries.make_server('second'),
        )
        second.begin()
        need = choice.Need('models', avoid=frozenset({'first'}))
        self.assertEqual('second', _choose([first, second], need))
        self.assertEqual('first', _choose([first], need))


class SoftwareVersionTest(unittest.TestCase):
    """Some requests may run at servers of one software version only."""

    def test_among_ten_times_the_servers(self) -> None:
        """A loaded server of the version wins over many idle ones."""
        idle = [entries.make_server(f's{n}', version='v1') for n in range(80)]
        busy = entries.make_server('busy', version='v2')
        for _ in range(3):
            busy.begin()
        need = choice.Need('models', version='v2')
        for seed in range(20):
            candidates = [*idle, busy]
            random.Random(seed).shuffle(candidates)
            self.assertEqual('busy', _choose(candidates, need, seed=seed))
        busy.begin()
        self.assertEqual('', _choose([*idle, busy], need))

    def test_all_of_the_version(self) -> None:
        """The servers of the version share the requests."""
        candidates = [
            entries.make_server(f's{number}', version=f'v{number % 4}')
            for number in range(80)
        ]
        need = choice.Need('models', version='v3')
        chosen = {_choose(candidates, need, seed=seed) for seed in range(200)}
        expected = {f's{number}' for number in range(3, 80, 4)}
        self.assertEqual(expected, chosen)

    def test_no_version(self) -> None:
        """A server without a version is not of any version."""
        unnamed = entries.make_server('unnamed')
        named = entries.make_server('named', version='v1')
        candidates = [unnamed, named]
        self.assertEqual(
            'unnamed', _choose(candidates, choice.Need('models', version=''))
        )
        self.assertEqual(
            'named', _choose(candidates, choice.Need('models', version='v1'))
        )
        self.assertEqual(
            2, len(choice.usable(candidates, choice.Need('models'), 1.0))
        )

    def test_no_other_version_as_last_resort(self) -> None:
        """An ejected server of the version is better than another version."""
        bad = entries.make_server('bad', version='v1')
        for _ in range(servers.EJECT_AFTER):
            bad.failed(1.0)
        other = entries.make_server('other', version='v2')
        need = choice.Need('models', version='v1', avoid=frozenset({'bad'}))
        self.assertEqual('bad', _choose([bad, other], need, now=1.1))
        need = need._replace(successor=True)
        self.assertEqual('', _choose([bad, other], need, now=1.1))


class FirstVersionTest(unittest.TestCase):
    """New streams begin at a version where it has a healthy server."""

    def setUp(self) -> None:
        """Create a server of each version with the model alone."""
        model = entries.loaded_model('m')
        self.first, self.other = (
            entries.make_server(name, version=version, models=(model,))
            for name, version in (('s1', 'v1'), ('s2', 'v2'))
        )
        self.need = choice.Need('models', 'm', 'a1', first='v1')

    def _version(self, need: choice.Need) -> str | None:
        candidates = [self.first, self.other]
        return choice.at_first_version(candidates, need, 1.0).version

    def test_adapter_to_load(self) -> None:
        """An adapter is loaded at the version, a model is not."""
        self.assertEqual('v1', self._version(self.need))
        self.assertIsNone(self._version(self.need._replace(model='n')))

    def test_no_first_version(self) -> None:
        """One version that has to be kept goes before."""
        self.assertIsNone(self._version(self.need._replace(first=None)))
        self.assertEqual('v2', self._version(self.need._replace(version='v2')))

    def test_unusable(self) -> None:
        """A failed attempt, a pause, an ejection, and a silent server."""
        tried = self.need._replace(avoid=frozenset({'s1'}))
        self.assertIsNone(self._version(tried))
        self.first.failed(1.0, unreachable=True)
        self.assertIsNone(self._version(self.need))
        self.setUp()
        self.first.pause(9.0)
        self.assertIsNone(self._version(self.need))
        self.setUp()
        self.first.begin()
        self.first.on_answer_started()
        self.assertEqual('v1', self._version(self.need))
        successor = self.need._replace(successor=True)
        self.assertIsNone(self._version(successor))
