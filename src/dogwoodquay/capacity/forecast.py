"""Chooses between servers by the expected time until completion."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['Outlook', 'choose', 'remaining']

# Steps in which the requests that others have sent meanwhile are placed.
STEPS: typing.Final = 16
# Figures are at least this old when a request arrives at a server.
MIN_AGE_SECONDS: typing.Final = 0.01
# Weight of the time that a request waits at a server. It is above one, as
# requests that come after it wait longer for it, and as the pace may change.
WAIT_WEIGHT: typing.Final = 3.0
# Half of the range of a load, in square roots of its expected value.
SPREAD: typing.Final = 0.875
# Upper bound of the random factor that breaks near ties.
JITTER: typing.Final = 0.02


class Outlook(typing.NamedTuple):
    """What is expected of a server for the next request.

    ``own`` are this instance's requests there, exactly, and ``others`` those
    of other instances as of ``age`` seconds ago, of which ``unanswered`` are
    known to be there still. The server runs
    ``concurrency`` at a time, each in ``seconds``. ``cost`` is what speaks
    against it beside its load, in seconds.
    """

    own: float
    others: float
    unanswered: float
    age: float
    concurrency: float
    seconds: float
    cost: float
    capacity: float

    @property
    def load(self) -> float:
        """The requests that are left there of those that are known."""
        left = remaining(self.others, self.concurrency, self.seconds, self.age)
        return self.own + max(left, self.unanswered)

    @property
    def others_rate(self) -> float:
        """The requests per second that others complete there (Little)."""
        busy = min(self.others, self.concurrency)
        return busy / self.seconds

    @property
    def kept(self) -> float:
        """The requests left there of one a second sent since ``age``."""
        age = max(self.age, MIN_AGE_SECONDS)
        return self.seconds * (1.0 - math.exp(-age / self.seconds))

    def completion(self, load: float) -> float:
        """Return the seconds until the next request is complete there.

        The load of others varies around its expected value, so a request may
        have to wait although the expected load leaves room.
        """
        concurrency = self.concurrency
        excess = load + 1.0 - concurrency
        half = SPREAD * math.sqrt(max(0.0, load - self.own))
        if excess < half:
            # The mean excess of a load that is evenly distributed.
            above = excess + half
            excess = above * above / (4.0 * half) if above > 0.0 else 0.0
        wait = WAIT_WEIGHT * excess / concurrency
        return self.seconds * (1.0 + wait) + self.cost


def remaining(
    load: float, concurrency: float, seconds: float, age: float
) -> float:
    """Return how many of some requests are not complete yet."""
    age = max(0.0, age)
    drained = max(0.0, load - concurrency) * seconds / concurrency
    if age < drained:
        return load - age * concurrency / seconds
    return min(load, concurrency) * math.exp(-(age - drained) / seconds)


def choose(outlooks: abc.Sequence[Outlook], rng: random.Random) -> int | None:
    """Return the index of the server with the least expected completion.

    Other instances have sent requests since the figures were true, by the
    same rule. How many of them went before this request is not known, so its
    place among them is drawn at random; those before it are placed first.
    This spreads the requests of all instances over the servers the more, the
    older the figures are.

    :return: ``None`` if no server has room.
    """
    loads = [item.load for item in outlooks]
    rate = sum(item.others_rate for item in outlooks)
    before = rng.randrange(STEPS)
    step = rate / STEPS
    costs = [
        item.completion(load) * (1.0 + rng.random() * JITTER)
        for item, load in zip(outlooks, loads, strict=True)
    ]
    if rate > 0.0:
        for _ in range(before):
            best = costs.index(min(costs))
            item = outlooks[best]
            loads[best] += step * item.kept
            costs[best] = item.completion(loads[best])
    room = [i for i, x in enumerate(outlooks) if loads[i] < x.capacity]
    return min(room, key=costs.__getitem__, default=None)
