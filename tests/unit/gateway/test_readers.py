"""Tests of choosing who reads the store and who passes copies on."""

from __future__ import annotations

import unittest

from . import fakes
from dogwoodquay.gateway import demand
from dogwoodquay.gateway import readers

OWNER = 'front-z-hall-1@10.9.0.1:7380'


def _names(count: int, domains: str) -> list[str]:
    return [
        f'front-{domains[row]}-hall-{number + 1}'
        f'@10.{row + 1}.0.{number + 1}:7380'
        for number, row in (
            divmod(index, len(domains)) for index in range(count)
        )
    ]


def _choice(names: list[str], version: int = 7) -> readers.ReaderChoice:
    choice = readers.ReaderChoice(fakes.rng())
    for name in names:
        choice.update(name, version, 1.0)
    return choice


class ReadersTest(unittest.TestCase):
    """A few instances read the store, whatever their number."""

    def _readers(self, choice: readers.ReaderChoice, now: float) -> set[str]:
        return {
            name for name in self.names if choice.reads_store(name, OWNER, now)
        }

    def setUp(self) -> None:
        self.names = sorted(_names(65, 'abcd'))

    def test_few_and_in_each_failure_domain(self) -> None:
        """65 instances in 4 domains have readers in each of them."""
        found = self._readers(_choice(self.names), 1.0)
        self.assertEqual(readers.READERS, len(found))
        domains = {name.split('-')[1] for name in found}
        self.assertEqual(set('abcd'), domains)

    def test_no_domain_has_most_readers(self) -> None:
        """690 instances keep half of the readers without any one domain."""
        self.names = _names(690, 'abcdefg')
        found = self._readers(_choice(self.names), 1.0)
        self.assertEqual(readers.READERS, len(found))
        domains = [name.split('-')[1] for name in found]
        most = max(domains.count(domain) for domain in 'abcdefg')
        self.assertLessEqual(most, readers.READERS // 2)

    def test_owner_reads(self) -> None:
        """The owner reads the store whether it is among the first or not."""
        choice = _choice([*self.names, OWNER])
        self.assertTrue(choice.reads_store(OWNER, OWNER, 1.0))

    def test_small_site(self) -> None:
        """Where there are no more than the readers, all read the store."""
        self.names = self.names[: readers.READERS]
        found = self._readers(_choice(self.names), 1.0)
        self.assertEqual(set(self.names), found)

    def test_order_of_loads(self) -> None:
        """The choice does not depend on who reports first."""
        found = self._readers(_choice(self.names), 1.0)
        other = self._readers(_choice(self.names[::-1]), 1.0)
        self.assertEqual(found, other)

    def test_lost_readers(self) -> None:
        """Others take the place of readers that send no load any more."""
        choice = _choice(self.names)
        lost = self._readers(choice, 1.0)
        later = 1.1 + demand.LOAD_EXPIRY_SECONDS
        for name in self.names:
            if name not in lost:
                choice.update(name, 7, later)
        found = self._readers(choice, later)
        self.assertEqual(readers.READERS, len(found))
        self.assertFalse(lost & found)

    def test_new_instance(self) -> None:
        """A new instance that is first by its hash reads the store at once."""
        found = self._readers(_choice(self.names), 1.0)
        late = min(found)
        choice = _choice([name for name in self.names if name != late])
        self.assertFalse(choice.reads_store(late, OWNER, 1.0))
        choice.update(late, 7, 1.01)
        self.assertTrue(choice.reads_store(late, OWNER, 1.01))


class HolderTest(unittest.TestCase):
    """An instance learns whom it may ask for the newest version."""

    def setUp(self) -> None:
        self.names = _names(9, 'abc')
        self.choice = _choice(self.names)

    def _holders(
        self, askers: list[str], now: float, owner: str = OWNER
    ) -> list[str]:
        return [self.choice.holder(asker, owner, now) for asker in askers]

    def test_lower_version(self) -> None:
        """Only instances with the newest version are named."""
        first, second, *others = self.names
        self.choice.update(first, 8, 1.1)
        self.choice.update(second, 8, 1.1)
        found = set(self._holders(others, 1.1))
        self.assertEqual({first, second, ''}, found)

    def test_never_the_asker(self) -> None:
        """An instance with the newest version has nobody to ask."""
        self.assertEqual([''] * 9, self._holders(self.names, 1.0))
        first, *_ = self.names
        self.choice.update(first, 8, 1.1)
        self.assertEqual([''], self._holders([first], 1.1))

    def test_few_askers_at_once(self) -> None:
        """A holder's slow link is not shared by all who lack a version."""
        first, *others = self.names
        self.choice.update(first, 8, 1.1)
        for now in (1.1, 1.2, 1.5):
            found = self._holders(others, now)
            self.assertEqual(readers.ASKERS_AT_ONCE, found.count(first))
        asker = others[found.index(first)]
        self.choice.update(asker, 8, 1.6)
        found = self._holders(others, 1.6)
        self.assertEqual(readers.ASKERS_AT_ONCE, found.count(first))
        self.assertEqual(readers.ASKERS_AT_ONCE, found.count(asker))

    def test_rounds_of_copies(self) -> None:
        """Copies from one instance reach 690 in few rounds.

        Holders grow at most threefold a round: six rounds are the least.
        """
        self.names = _names(690, 'abcdefg')
        self.choice = _choice(self.names)
        lacking = self.names[1:]
        for round_number in range(7):
            now = 1.1 + 0.1 * round_number
            for name in self.names:
                self.choice.update(name, 7 if name in lacking else 8, now)
            found = self._holders(lacking, now)
            served = [
                name
                for name, holder in zip(lacking, found, strict=True)
                if holder
            ]
            lacking = [name for name in lacking if name not in served]
        self.assertEqual([], lacking)

    def test_lost_asker(self) -> None:
        """The place of an instance that is gone is given to another."""
        first, second, third, *others = self.names
        self.choice.update(first, 8, 1.1)
        found = self._holders([second, third], 1.1)
        self.assertEqual([first, first], found)
        self.assertEqual('', self.choice.holder(others[0], OWNER, 1.1))
        later = 1.2 + demand.LOAD_EXPIRY_SECONDS
        self.choice.update(first, 8, later)
        self.choice.update(others[0], 7, later)
        self.assertEqual(first, self.choice.holder(others[0], OWNER, later))

    def test_unused_place(self) -> None:
        """An instance that does not get its copy frees the place in time."""
        first, second, third, *others = self.names
        self.choice.update(first, 8, 1.1)
        self._holders([second, third], 1.1)
        later = 1.1 + readers.PLACE_SECONDS
        for name in self.names:
            self.choice.update(name, 8 if name == first else 7, later)
        found = self._holders(others, later)
        self.assertEqual(readers.ASKERS_AT_ONCE, found.count(first))

    def test_owner_last(self) -> None:
        """The owner, whose link carries all views, is named if alone."""
        owner, other, *askers = self.names
        self.choice.update(owner, 8, 1.1)
        self.assertEqual(owner, self.choice.holder(askers[0], owner, 1.1))
        self.choice.update(other, 8, 1.1)
        found = set(self._holders(askers[1:], 1.1, owner))
        self.assertEqual({other, ''}, found)

    def test_newer_version_meanwhile(self) -> None:
        """Whoever was to ask for a version asks for the next one instead."""
        first, second, asker, *_ = self.names
        self.choice.update(first, 8, 1.1)
        self.assertEqual(first, self.choice.holder(asker, OWNER, 1.1))
        self.choice.update(second, 9, 1.2)
        self.assertEqual(second, self.choice.holder(asker, OWNER, 1.2))
        self.assertEqual(second, self.choice.holder(first, OWNER, 1.2))

    def test_restarted_holder(self) -> None:
        """A holder that has started anew without a version is not named."""
        first, second, *others = self.names
        self.choice.update(first, 8, 1.1)
        self.choice.update(second, 8, 1.1)
        self.choice.update(first, -1, 1.2)
        found = set(self._holders([first, *others], 1.2))
        self.assertEqual({second, ''}, found)

    def test_lost_holder(self) -> None:
        """A holder that sends no load any more is not named."""
        first, second, third, *_ = self.names
        self.choice.update(first, 8, 1.1)
        later = 1.2 + demand.LOAD_EXPIRY_SECONDS
        self.choice.update(second, 7, later)
        self.choice.update(third, 6, later)
        self.assertEqual(second, self.choice.holder(third, OWNER, later))

    def test_no_version(self) -> None:
        """Before the first configuration nobody is named."""
        for names in (self.names, []):
            self.choice = _choice(names, -1)
            found = self._holders(self.names, 1.0)
            self.assertEqual([''] * 9, found)
