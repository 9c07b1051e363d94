"""Contacts with listed instances that are not known members.

The platform's list may be out of date, so a listed instance may not exist.
"""

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

_CONTACTS_WHEN_ISOLATED: typing.Final = 3


class Seeds:
    """Chooses the listed instances to contact, a few at a time."""

    def __init__(
        self, limits: settings.DetectorSettings, rng: random.Random
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._listed: dict[str, external_api.Instance] = {}
        self._retry_at: dict[str, float] = {}
        self._list_read = False

    @property
    def empty(self) -> bool:
        """Whether the list was read and names no other instance."""
        return self._list_read and not self._listed

    def replace(self, instances: abc.Iterable[external_api.Instance]) -> None:
        """Replace the list, which must not contain this instance."""
        self._list_read = True
        self._listed = {i.instance_id: i for i in instances}
        retries = self._retry_at.items()
        self._retry_at = {k: at for k, at in retries if k in self._listed}

    def contacts(
        self, present: abc.Container[str], isolated: bool, now: float
    ) -> list[effects.Effect]:
        """Return the contacts that are due now.

        :param present: ids of the known members, which need no contact.
        :param isolated: whether this instance has no neighbours; it then
            contacts more instances at a time.
        """
        due = [
            name
            for name in self._listed
            if name not in present and self._retry_at.get(name, 0.0) <= now
        ]
        self._rng.shuffle(due)
        count = _CONTACTS_WHEN_ISOLATED if isolated else 1
        return [self._contact(name, now) for name in due[:count]]

    def _contact(self, name: str, now: float) -> effects.Effect:
        pause = self._limits.retry_seed_seconds
        self._retry_at[name] = now + pause * self._rng.uniform(0.5, 1.5)
        seed = self._listed[name]
        address = wire_api.PeerAddress(seed.address, seed.port)
        deadline = now + 2 * self._limits.answer_seconds
        return effects.Contact(name, address, deadline)
