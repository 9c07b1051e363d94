"""Tests of the rendered metrics page."""

from __future__ import annotations

import unittest

from dogwoodquay.observe import metrics


class RegistryTest(unittest.TestCase):
    """Metrics on the rendered page."""

    def setUp(self) -> None:
        self.registry = metrics.Registry('i1')

    def page(self) -> str:
        return self.registry.render().body.decode()

    def test_counter_with_labels(self) -> None:
        counter = self.registry.counter('refusals', 'Refusals.', 'reason')
        counter.add('queue_full')
        counter.add('queue_full', amount=2)
        self.assertIn(
            'refusals{instance="i1",reason="queue_full"} 3', (self.page())
        )
        counter.add('draining')
        page = self.page()
        self.assertIn('reason="queue_full"} 3', page)
        self.assertIn('reason="draining"} 1', page)

    def test_gauge_is_read_for_each_page(self) -> None:
        values = [1.0, 2.0]
        self.registry.gauge('open', 'Open.', lambda: values.pop(0))
        self.assertIn('open{instance="i1"} 1.0', self.page())
        self.assertIn('open{instance="i1"} 2.0', self.page())

    def test_histogram_is_cumulative(self) -> None:
        seconds = self.registry.histogram('seconds', 'S.', (0.1, 1.0))
        for value in (0.05, 0.1, 0.5, 7.0):
            seconds.observe(value)
        for _ in range(2):
            page = self.page()
            self.assertIn('le="0.1"} 2', page)
            self.assertIn('le="1.0"} 3', page)
            self.assertIn('le="+Inf"} 4', page)
            self.assertIn('seconds_count{instance="i1"} 4', page)

    def test_same_name_twice(self) -> None:
        self.registry.counter('twice', 'T.')
        with self.assertRaises(ValueError):
            self.registry.counter('twice', 'T.')
