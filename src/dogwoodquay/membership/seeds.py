"""Instances of the platform's lagging list that are not live members."""

from __future__ import annotations

import typing

from . import effects
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..external import api as external_api
    from . import settings

__all__ = ['Seeds']

_CONTACTS_WHEN_ALONE: typing.Final = 3


class Seeds:
    """Chooses which listed instances to contact, a few at a time."""

    def __init__(
        self, limits: settings.DetectorSettings, rng: random.Random
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._listed: dict[str, external_api.Instance] = {}
        self._retry_at: dict[str, float] = {}
        self._known = False

    @property
    def empty(self) -> bool:
        """Whether the list was read and names no other instance."""
        return self._known and not self._listed

    def replace(self, instances: abc.Iterable[external_api.Instance]) -> None:
        """Take in the list, without this instance."""
        self._known = True
        self._listed = {i.instance_id: i for i in instances}
        kept = self._retry_at.items()
        self._retry_at = {k: at for k, at in kept if k in self._listed}

    def contacts(
        self, present: abc.Container[str], alone: bool, now: float
    ) -> list[effects.Effect]:
        """Return whom to contact now.

        :param present: ids of the members that need no contact.
        """
        due = [
            name
            for name in self._listed
            if name not in present and self._retry_at.get(name, 0.0) <= now
        ]
        self._rng.shuffle(due)
        count = _CONTACTS_WHEN_ALONE if alone else 1
        return [self._contact(name, now) for name in due[:count]]

    def _contact(self, name: str, now: float) -> effects.Effect:
        pause = self._limits.retry_seed_seconds
        self._retry_at[name] = now + pause * self._rng.uniform(0.5, 1.5)
        seed = self._listed[name]
        address = wire_api.PeerAddress(seed.address, seed.port)
        deadline = now + 2 * self._limits.answer_seconds
        return effects.Contact(name, address, deadline)
