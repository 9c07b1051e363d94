"""Tests of gossip: versions, expiry, partitions, bandwidth, neighbours."""

from __future__ import annotations

import collections
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.gossip import api
from dogwoodquay.gossip import core
from dogwoodquay.gossip import ring
from dogwoodquay.gossip import store
from dogwoodquay.wire import api as wire_api

START = 1_700_000_000.0
TICK = 0.1


def _item(
    key: str, sequence: int, payload: bytes = b'x', expires_at: float = 0.0
) -> api.Item:
    return api.Item(key, api.Version(1, sequence), payload, expires_at)


class _Mesh:
    """Cores that exchange messages without delay, with partitions."""

    def __init__(self, size: int, **settings: float) -> None:
        self.now = START
        self.partition_of: dict[wire_api.PeerAddress, int] = (
            collections.Counter()
        )
        self.sent: collections.Counter[str] = collections.Counter()
        rng = random.Random(size)
        nodes = [
            ring.RingNode(f'instance-{number}', f'domain-{number % 7}')
            for number in range(size)
        ]
        self.addresses = {
            node.instance_id: wire_api.PeerAddress('127.0.0.1', number)
            for number, node in enumerate(nodes)
        }
        self.cores = {}
        for node in nodes:
            subject = core.Gossip(
                core.GossipSettings(**settings), random.Random(rng.random())
            )
            chosen = ring.neighbours(node, nodes)
            subject.set_neighbours([self.addresses[n] for n in sorted(chosen)])
            self.cores[self.addresses[node.instance_id]] = subject

    def tick(self, seconds: float) -> None:
        """Advance the time and run the ticks of all cores."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for address, subject in self.cores.items():
                self.deliver(address, subject.tick(self.now))

    def deliver(
        self,
        source: wire_api.PeerAddress,
        effects: typing.Sequence[core.Effect],
    ) -> None:
        """Deliver messages and their answers within partitions."""
        queue = [(source, effect) for effect in effects]
        while queue:
            sender, effect = queue.pop(0)
            if not isinstance(effect, core.Send):
                continue
            self.sent[type(effect.message).__name__] += 1
            if self.partition_of[sender] != self.partition_of[effect.peer]:
                continue
            receiver = self.cores[effect.peer]
            answers = receiver.receive(sender, effect.message, self.now)
            queue += [(effect.peer, answer) for answer in answers]

    def count_instances(self, key: str, sequence: int) -> int:
        """Count the cores that have a given version of a key."""
        found = [c.get(key, self.now) for c in self.cores.values()]
        return sum(
            item is not None and item.version.sequence == sequence
            for item in found
        )


class StoreTest(unittest.TestCase):
    """The items of one instance."""

    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.builds(
                    _item,
                    strategies.sampled_from('ab'),
                    strategies.integers(0, 6),
                    expires_at=strategies.sampled_from(
                        [0.0, START + 5.0, START + 50.0, START + 9000.0]
                    ),
                ),
                strategies.sampled_from([1.0, 10.0, 4000.0]),
            ),
            max_size=40,
        )
    )
    def test_versions_never_decrease(
        self, steps: list[api.Item | float]
    ) -> None:
        """After any puts and expiries no older version is returned."""
        subject = store.Store()
        now = START
        highest: dict[str, api.Version] = {}
        for step in steps:
            if isinstance(step, float):
                now += step
                subject.expire(now)
            else:
                seen = highest.get(step.key)
                newer = seen is None or step.version > seen
                self.assertEqual(newer, subject.put(step, now))
                if newer:
                    highest[step.key] = step.version
            for key, version in highest.items():
                item = subject.get(key, now)
                if item is not None:
                    self.assertEqual(version, item.version)
                    self.assertFalse(0 < item.expires_at <= now)

    def test_root_is_independent_of_order(self) -> None:
        """Stores with equal items have the same root, others not."""
        items = [_item(f'key-{n}', n) for n in range(50)]
        one, other = store.Store(), store.Store()
        for item in items:
            one.put(item, START)
        for item in reversed(items):
            other.put(_item(item.key, -1), START)
            other.put(item, START)
        self.assertEqual(one.root, other.root)
        other.put(_item('key-7', 8), START)
        self.assertNotEqual(one.root, other.root)


class DisseminationTest(unittest.TestCase):
    """Exchanges between several cores."""

    def test_partition_heals(self) -> None:
        """Partitions with different changes converge on the newest."""
        mesh = _Mesh(12)
        first, *_, last = mesh.cores
        for address in list(mesh.cores)[:6]:
            mesh.partition_of[address] = 1
        for sequence in (1, 2, 3):
            for address, key in ((first, 'near'), (last, 'far')):
                mesh.deliver(
                    address,
                    mesh.cores[address].put(_item(key, sequence), mesh.now),
                )
            mesh.tick(1.0)
        mesh.deliver(first, mesh.cores[first].put(_item('far', 2), mesh.now))
        mesh.tick(5.0)
        self.assertEqual(6, mesh.count_instances('near', 3))
        self.assertEqual(6, mesh.count_instances('far', 3))
        mesh.partition_of.clear()
        mesh.tick(30.0)
        self.assertEqual(12, mesh.count_instances('near', 3))
        self.assertEqual(12, mesh.count_instances('far', 3))
        self.assertEqual(1, len({c.root for c in mesh.cores.values()}))

    def test_older_version_does_not_return_after_expiry(self) -> None:
        """An instance without the newer item does not bring the older back."""
        mesh = _Mesh(8)
        first, *_, last = mesh.cores
        mesh.deliver(first, mesh.cores[first].put(_item('k', 1), mesh.now))
        mesh.tick(2.0)
        mesh.partition_of[last] = 1
        short = _item('k', 2, expires_at=mesh.now + 3.0)
        mesh.deliver(first, mesh.cores[first].put(short, mesh.now))
        mesh.tick(6.0)
        self.assertEqual(1, mesh.count_instances('k', 1))
        mesh.partition_of.clear()
        mesh.tick(60.0)
        self.assertEqual(0, mesh.count_instances('k', 1))

    def test_small_and_large_cluster(self) -> None:
        """An item reaches all instances of a cluster within 5 s."""
        for size in (9, 690):
            mesh = _Mesh(size)
            mesh.tick(1.0)
            first = next(iter(mesh.cores))
            effects = mesh.cores[first].put(_item('k', 1), mesh.now)
            mesh.deliver(first, effects)
            mesh.tick(5.0)
            self.assertEqual(size, mesh.count_instances('k', 1), size)

    def test_bandwidth_limit_with_many_updates(self) -> None:
        """Bytes per second stay within the limit; only the newest is sent."""
        mesh = _Mesh(5, bytes_per_second=1000.0, burst_bytes=1000.0)
        first = next(iter(mesh.cores))
        subject = mesh.cores[first]
        sent = 0
        for sequence in range(1, 301):
            subject.put(_item('k', sequence, bytes(100)), mesh.now)
            mesh.now += TICK
            for effect in subject.tick(mesh.now):
                if isinstance(effect, core.Send):
                    sent += 100
                mesh.deliver(first, [effect])
        seconds = 300 * TICK
        self.assertLessEqual(sent, 1000.0 * seconds + 1000.0)
        self.assertLessEqual(subject.pending_count, 4)
        mesh.tick(20.0)
        self.assertEqual(5, mesh.count_instances('k', 300))

    def test_empty_instance_catches_up(self) -> None:
        """An empty instance gets all items from its neighbours."""
        mesh = _Mesh(9)
        *others, last = mesh.cores
        for number in range(300):
            mesh.cores[others[0]].put(_item(f'k{number}', 1), mesh.now)
        mesh.partition_of[last] = 1
        mesh.tick(30.0)
        mesh.partition_of.clear()
        mesh.tick(30.0)
        self.assertEqual(300, mesh.cores[last].item_count)


class RingTest(unittest.TestCase):
    """Choice of neighbours."""

    def test_number_domains_and_stability(self) -> None:
        """Neighbours are few, in all domains, and change little on a leave."""
        nodes = [
            ring.RingNode(f'instance-{n}', f'domain-{n % 7}')
            for n in range(690)
        ]
        domains = dict(nodes)
        chosen = {p: ring.neighbours(p, nodes) for p in nodes}
        self.assertLessEqual(max(map(len, chosen.values())), 20)
        for node, names in chosen.items():
            others = {domains[name] for name in names}
            self.assertEqual(7, len(others | {node.failure_domain}))
        fewer = [p for p in nodes if p.instance_id != 'instance-5']
        changed = sum(
            len(ring.neighbours(p, fewer) - chosen[p]) for p in fewer
        )
        self.assertLess(changed, 60)

    def test_neighbour_graph_is_connected(self) -> None:
        """All instances can be reached from one through neighbours."""
        for size in (1, 2, 3, 9, 100):
            nodes = [ring.RingNode(f'i{n}', f'd{n % 3}') for n in range(size)]
            by_id = {p.instance_id: p for p in nodes}
            reached = {'i0'}
            frontier = ['i0']
            while frontier:
                names = ring.neighbours(by_id[frontier.pop()], nodes)
                frontier += names - reached
                reached |= names
            self.assertEqual(size, len(reached))
