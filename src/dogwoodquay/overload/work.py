"""How long a server usually takes for a request of a route."""

from __future__ import annotations

import typing

__all__ = ['Usual', 'WorkTimes']

# With fewer answers the usual time is unknown.
MIN_SAMPLES: typing.Final = 3
# Weight of the newest answer in the means.
WEIGHT: typing.Final = 0.15
# Routes that are remembered, the ones used last.
MAX_KINDS: typing.Final = 512


class Usual(typing.NamedTuple):
    """The mean time of something and its mean deviation from that."""

    seconds: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    @property
    def known(self) -> bool:
        """Whether there were enough samples."""
        return self.samples >= MIN_SAMPLES

    @property
    def safe_seconds(self) -> float:
        """A time in which most end."""
        return self.seconds + self.deviation

    def with_sample(self, seconds: float) -> Usual:
        """Return the means with one more sample."""
        if not self.samples:
            return Usual(seconds, 0.0, 1)
        weight = max(WEIGHT, 1.0 / (self.samples + 1))
        change = seconds - self.seconds
        return Usual(
            self.seconds + change * weight,
            self.deviation + (abs(change) - self.deviation) * weight,
            self.samples + 1,
        )


_UNKNOWN: typing.Final = Usual()


class WorkTimes:
    """The usual times of answers by service and route."""

    def __init__(self) -> None:
        self._first: dict[tuple[str, str], Usual] = {}
        self._whole: dict[tuple[str, str], Usual] = {}

    def first(self, service: str, route: str) -> Usual:
        """Return the time to the first event of a stream."""
        return self._first.get((service, route), _UNKNOWN)

    def whole(self, service: str, route: str) -> Usual:
        """Return the time to the end of an answer."""
        return self._whole.get((service, route), _UNKNOWN)

    def on_first(self, service: str, route: str, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        _record(self._first, (service, route), seconds)

    def on_whole(self, service: str, route: str, seconds: float) -> None:
        """Record the time to the end of a complete answer."""
        _record(self._whole, (service, route), seconds)


def _record(
    times: dict[tuple[str, str], Usual],
    kind: tuple[str, str],
    seconds: float,
) -> None:
    usual = times.pop(kind, _UNKNOWN).with_sample(seconds)
    while len(times) >= MAX_KINDS:
        del times[next(iter(times))]
    times[kind] = usual
