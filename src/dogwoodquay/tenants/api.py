"""Tenants as the configuration declares them."""

from __future__ import annotations

import enum
import typing

__all__ = ['DropReason', 'Dropped', 'Tenant', 'Unit']


class Unit(enum.Enum):
    """What a tenant's allotment counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


class Tenant(typing.NamedTuple):
    """A declared tenant.

    ``api_keys`` are secrets: only the key directory reads them. ``priority``
    goes before that of the route, zero is the most urgent, ``None`` if the
    tenant has none. ``rate`` is in units per second and ``burst`` in units,
    both over all instances together; a ``rate`` of ``None`` is no limit. A
    request without a number of tokens counts as ``plain_tokens``.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate: float | None = None
    burst: float = 0.0
    unit: Unit = Unit.REQUESTS
    plain_tokens: int = 0

    def __repr__(self) -> str:
        """Return the tenant without its keys, which must not be logged."""
        return f'Tenant({self.name!r}, {len(self.api_keys)} keys)'


class DropReason(enum.Enum):
    """Why a declared tenant, or a part of its record, is not used.

    Up to ``NO_KEYS`` the whole record is dropped, else its part.
    """

    UNREADABLE = 'unreadable'
    NAME = 'name'
    NAME_TWICE = 'name_twice'
    RATE_UNREADABLE = 'rate_unreadable'
    NO_KEYS = 'no_keys'
    KEY = 'key'
    KEY_SHARED = 'key_shared'
    RATE = 'rate'
    BURST = 'burst'
    PRIORITY = 'priority'
    UNIT = 'unit'
    PLAIN_TOKENS = 'plain_tokens'


class Dropped(typing.NamedTuple):
    """What is not used of a tenant's record.

    ``tenant`` is its name, or its position such as ``#3`` if it has none.
    """

    tenant: str
    reason: DropReason
