"""The abstract form of the store that instances share."""

from __future__ import annotations

import typing

from ..external import api as external_api

if typing.TYPE_CHECKING:
    import expression

__all__ = [
    'GroupView',
    'Membership',
    'NewestRecord',
    'Records',
    'Store',
    'StoreError',
    'Topic',
]

StoreError = (
    external_api.Unavailable
    | external_api.Ambiguous
    | external_api.Refused
    | external_api.Trimmed
)


class Topic(typing.NamedTuple):
    """A topic whose newest record of each key is kept."""

    name: str


class NewestRecord(typing.NamedTuple):
    """A record with its key; an empty value says that the key is gone."""

    key: str
    value: bytes


class Records(typing.NamedTuple):
    """Records, and the offset from which to read what follows them."""

    records: tuple[NewestRecord, ...]
    next_offset: int


class Membership(typing.NamedTuple):
    """A member's place in a group.

    ``generation`` rises with each change of the group; ``partitions`` are
    those that the member holds under it.
    """

    generation: int
    partitions: frozenset[int]


class GroupView(typing.NamedTuple):
    """Who holds a partition of a group, empty for nobody.

    ``members`` tells whether anybody holds any partition: while one moves
    from a member to another, nobody holds it.
    """

    holder: str
    members: bool


class Store(typing.Protocol):
    """The few calls that this project makes to the store."""

    async def newest(
        self, topic: Topic, deadline: float
    ) -> expression.Result[Records, StoreError]:
        """Return the newest record of each key of a topic."""

    async def read(
        self, topic: Topic, offset: int, wait_seconds: float, deadline: float
    ) -> expression.Result[Records, StoreError]:
        """Return records from an offset on, waiting for the first."""

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
        deadline: float,
    ) -> expression.Result[Membership, StoreError]:
        """Join a group, or stay in it."""

    async def leave(self, group: str, member: str, deadline: float) -> bool:
        """Leave a group, so that others need not wait for its time limit.

        :return: whether the store said that the member is none any more.
        """

    async def owner(
        self, group: str, partition: int, deadline: float
    ) -> expression.Result[GroupView, StoreError]:
        """Return who holds a partition."""
