"""Weights and arguments for many rules in a row."""

from __future__ import annotations

import inspect
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['WEIGHTS', 'arguments']

WEIGHTS: typing.Final = {
    'move': 12.0,
    'arrive': 10.0,
    'answer': 8.0,
    'read': 6.0,
    'take_answers': 6.0,
    'finish_loads': 6.0,
    'resend': 5.0,
    'refresh': 4.0,
    'ask': 4.0,
    'lose_answer': 4.0,
    'close': 3.0,
    'hung_append_lands': 3.0,
    'take_over': 2.0,
    'deliver_all': 2.0,
    'calm': 1.5,
    'claim': 1.0,
    'restart_engine': 1.0,
    'unavailable': 1.0,
    'give_up': 1.0,
    'write_checkpoint': 1.0,
    'ask_peer': 1.0,
    'release': 0.5,
    'replace_instance': 0.5,
    'outage': 0.5,
    'trim': 0.5,
    'publish': 0.5,
    'server_leaves': 0.5,
}

_FATES: typing.Final = ('lands', 'lands', 'lands', 'lost', 'hangs', 'twice')
_SHARES: typing.Final = (0.0, 0.5, 1.0)


def arguments(
    rule: abc.Callable[..., None],
    rng: random.Random,
    artifacts: abc.Mapping[str, int],
) -> dict[str, object]:
    """Return random arguments for a rule."""
    makers: dict[str, abc.Callable[[], object]] = {
        'index': lambda: rng.randrange(12),
        'nth': lambda: rng.randrange(12),
        'peer': lambda: rng.randrange(12),
        'server': lambda: rng.randrange(12),
        'fate': lambda: rng.choice(_FATES),
        'artifact': lambda: rng.choice(tuple(artifacts)),
        'base': lambda: rng.choice(('m1@1', 'm1@2')),
        'share': lambda: rng.choice(_SHARES),
        'out': lambda: rng.random() < 0.3,
        'force': lambda: rng.random() < 0.1,
    }
    names = inspect.signature(rule).parameters
    return {
        name: makers.get(name, lambda: rng.random() < 0.5)() for name in names
    }
