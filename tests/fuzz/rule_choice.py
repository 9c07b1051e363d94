"""Weights and random arguments for long runs of rules."""

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
    'close_orders': 3.0,
    'late_append_arrives': 3.0,
    'take_over': 2.0,
    'deliver_all': 2.0,
    'catch_up': 1.5,
    'claim': 1.0,
    'restart_engine': 1.0,
    'unsent': 1.0,
    'give_up_intents': 1.0,
    'write_checkpoint': 1.0,
    'ask_peer': 1.0,
    'release': 0.5,
    'replace_instance': 0.5,
    'outage': 0.5,
    'trim': 0.5,
    'publish': 0.5,
    'server_leaves': 0.5,
}

_APPEND_RESULTS: typing.Final = (
    'stored',
    'stored',
    'stored',
    'lost',
    'delayed',
    'duplicated',
)
_ROLLOUT_SHARES: typing.Final = (0.0, 0.5, 1.0)


def arguments(
    rule: abc.Callable[..., None],
    rng: random.Random,
    artifacts: abc.Mapping[str, int],
) -> dict[str, object]:
    """Return random arguments for a rule, drawn in parameter order."""
    makers: dict[str, abc.Callable[[], object]] = {
        'index': lambda: rng.randrange(12),
        'order_index': lambda: rng.randrange(12),
        'peer': lambda: rng.randrange(12),
        'server': lambda: rng.randrange(12),
        'append_result': lambda: rng.choice(_APPEND_RESULTS),
        'artifact': lambda: rng.choice(tuple(artifacts)),
        'base': lambda: rng.choice(('m1@1', 'm1@2')),
        'share': lambda: rng.choice(_ROLLOUT_SHARES),
        'unavailable': lambda: rng.random() < 0.3,
        'force': lambda: rng.random() < 0.1,
    }
    names = inspect.signature(rule).parameters
    return {
        name: makers.get(name, lambda: rng.random() < 0.5)() for name in names
    }
