"""A typed registry of counters, gauges and histograms.

Values are kept as plain numbers, since they are updated for each request, and
are passed to aioprometheus only when the metrics page is rendered.
"""

from __future__ import annotations

import bisect
import collections
import itertools
import typing

import aioprometheus
from aioprometheus import histogram

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Counter',
    'Gauge',
    'Histogram',
    'LabelledGauge',
    'Page',
    'Registry',
    'SECONDS_BUCKETS',
]

SECONDS_BUCKETS: typing.Final = (
    0.001,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    0.98,
    2.5,
    10.0,
    30.0,
)

_Labels = tuple[str, ...]


class Page(typing.NamedTuple):
    """The rendered metrics page and its content type."""

    content_type: str
    body: bytes


class Counter:
    """A monotonic count for each combination of label values."""

    def __init__(self, names: _Labels, collector: typing.Any) -> None:
        self._names = names
        self._collector = collector
        self._values: collections.Counter[_Labels] = collections.Counter()

    def add(self, *labels: str, amount: int = 1) -> None:
        """Increase the count.

        :param labels: a value for each label name, in the same order.
        """
        self._values[labels] += amount

    def value(self, *labels: str) -> int:
        """Return the count of a combination of label values."""
        return self._values[labels]

    def publish(self) -> None:
        """Copy the counts to the collector."""
        for labels, value in self._values.items():
            names = dict(zip(self._names, labels, strict=True))
            self._collector.set(names, value)


class Gauge:
    """A number that is read each time the page is rendered."""

    def __init__(
        self, read: abc.Callable[[], float], collector: typing.Any
    ) -> None:
        self._read = read
        self._collector = collector

    def publish(self) -> None:
        """Copy the current value to the collector."""
        self._collector.set({}, self._read())


class LabelledGauge:
    """Numbers by label value, read each time the page is rendered."""

    def __init__(
        self,
        label: str,
        read: abc.Callable[[], abc.Mapping[str, float]],
        collector: typing.Any,
    ) -> None:
        self._label = label
        self._read = read
        self._collector = collector

    def publish(self) -> None:
        """Copy the current values to the collector."""
        for value, number in self._read().items():
            self._collector.set({self._label: value}, number)


class Histogram:
    """Counts of observed values, by upper bound."""

    def __init__(
        self, bounds: tuple[float, ...], collector: typing.Any
    ) -> None:
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0
        self._collector = collector

    @property
    def count(self) -> int:
        """The number of observed values."""
        return sum(self._counts)

    def observe(self, value: float) -> None:
        """Add an observed value."""
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self._sum += value

    def publish(self) -> None:
        """Copy the cumulative counts to the collector."""
        stored = histogram.Histogram(*self._bounds)
        bounds = tuple(stored.buckets)
        totals = itertools.accumulate(self._counts)
        stored.buckets.update(zip(bounds, totals, strict=True))
        stored.observations = self.count
        stored.sum = self._sum
        self._collector.set_value({}, stored)


class Registry:
    """Creates metrics and renders them on one page."""

    def __init__(self, instance: str) -> None:
        self._registry = aioprometheus.Registry()
        self._const_labels = {'instance': instance}
        self._metrics: list[Counter | Gauge | Histogram | LabelledGauge] = []

    def counter(self, name: str, doc: str, *labels: str) -> Counter:
        """Create a counter.

        :param labels: its label names.
        """
        collector = aioprometheus.Counter(
            name, doc, self._const_labels, self._registry
        )
        counter = Counter(labels, collector)
        self._metrics.append(counter)
        return counter

    def gauge(
        self, name: str, doc: str, read: abc.Callable[[], float]
    ) -> Gauge:
        """Create a gauge; ``read`` is called for each page."""
        collector = aioprometheus.Gauge(
            name, doc, self._const_labels, self._registry
        )
        gauge = Gauge(read, collector)
        self._metrics.append(gauge)
        return gauge

    def labelled_gauge(
        self,
        name: str,
        doc: str,
        label: str,
        read: abc.Callable[[], abc.Mapping[str, float]],
    ) -> LabelledGauge:
        """Create a gauge with one label; ``read`` is called for each page."""
        collector = aioprometheus.Gauge(
            name, doc, self._const_labels, self._registry
        )
        gauge = LabelledGauge(label, read, collector)
        self._metrics.append(gauge)
        return gauge

    def histogram(
        self,
        name: str,
        doc: str,
        bounds: tuple[float, ...] = SECONDS_BUCKETS,
    ) -> Histogram:
        """Create a histogram with upper bounds in ascending order."""
        collector = aioprometheus.Histogram(
            name, doc, self._const_labels, self._registry, bounds
        )
        created = Histogram(bounds, collector)
        self._metrics.append(created)
        return created

    def render(self, accept: str = '') -> Page:
        """Render all metrics in a format of an ``Accept`` header."""
        for metric in self._metrics:
            metric.publish()
        accepted = accept.split(',') if accept else []
        body, headers = aioprometheus.render(self._registry, accepted)
        return Page(headers['Content-Type'], body)
