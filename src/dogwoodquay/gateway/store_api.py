"""The interface of the store that instances share."""

from __future__ import annotations

import typing

import msgspec

from ..external import api as external_api

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

__all__ = [
    'GroupView',
    'Log',
    'LogRecords',
    'Membership',
    'NewestRecord',
    'Position',
    'Records',
    'Restored',
    'START',
    'Store',
    'StoreError',
    'Topic',
    'ignore_begin',
]


class Restored(msgspec.Struct, frozen=True):
    """The store has been restored from an older copy since a position.

    Its offset names another record now, or none. ``era`` is that of the
    answer, zero if it was not reported.
    """

    era: int


StoreError = (
    external_api.Unavailable
    | external_api.Ambiguous
    | external_api.Refused
    | external_api.Trimmed
    | Restored
)


class Topic(typing.NamedTuple):
    """A topic that keeps the newest record of each key."""

    name: str


class NewestRecord(typing.NamedTuple):
    """A record with its key; an empty value marks a deleted key."""

    key: str
    value: bytes


class Position(typing.NamedTuple):
    """An offset in a topic, which counts within one era of the store.

    The era rises each time that the store is restored from an older copy,
    after which offsets are given out again. An era of zero is unknown and
    matches any. Of two positions the greater one is newer.
    """

    era: int
    offset: int


START: typing.Final = Position(0, 0)


class Records(typing.NamedTuple):
    """Records and the position at which the next read starts.

    ``end_offset`` is the end of the topic when they were read.
    """

    records: tuple[NewestRecord, ...]
    position: Position
    end_offset: int = 0

    @property
    def incomplete(self) -> bool:
        """Whether the topic has further records already."""
        return self.position.offset < self.end_offset


class LogRecords(typing.NamedTuple):
    """Records of a topic without keys, oldest first.

    The next read starts at ``position``; ``end_offset`` is the end of the
    topic when they were read.
    """

    records: tuple[bytes, ...]
    position: Position
    end_offset: int


def ignore_begin() -> None:
    """Do nothing when records begin to arrive."""


class Membership(typing.NamedTuple):
    """A member's state in a group.

    ``generation`` rises with each change of the group; ``partitions`` are
    those assigned to the member in that generation. ``store_era`` rises each
    time that the store is restored from an older copy, in which generations
    go back; zero if it is not reported.
    """

    generation: int
    partitions: frozenset[int]
    store_era: int = 0


class GroupView(typing.NamedTuple):
    """The owner of a partition of a group, empty for none.

    ``has_members`` is whether any partition has an owner: a partition that
    moves from one member to another has none for a moment.
    """

    owner: str
    has_members: bool


class Log(typing.Protocol):
    """The calls for topics without keys, whose oldest records expire."""

    @property
    def era(self) -> int:
        """The newest era that an answer told, zero if none did."""

    async def append(
        self, topic: Topic, record: bytes, deadline: float
    ) -> expression.Result[None, StoreError]:
        """Append a record.

        It may be appended although the result is an error, also later.
        """

    async def read_log(
        self, topic: Topic, position: Position, deadline: float
    ) -> expression.Result[LogRecords, StoreError]:
        """Return the records from a position on, as many as fit in a call.

        The error is ``Restored`` if the position is of another era.

        :param deadline: when the answer has to begin.
        """


class Store(Log, typing.Protocol):
    """The calls to the store that an instance makes."""

    async def write(
        self, topic: Topic, records: abc.Mapping[str, bytes], deadline: float
    ) -> expression.Result[None, StoreError]:
        """Write records, all or none, each as the newest of its key.

        An empty value deletes the key. They may be written although the
        result is an error, also later.
        """

    async def newest(
        self,
        topic: Topic,
        deadline: float,
        on_begin: abc.Callable[[], None] = ignore_begin,
    ) -> expression.Result[Records, StoreError]:
        """Return the newest record of each key of a topic.

        :param deadline: when the first answer has to begin. It may take as
            long as its size needs.
        :param on_begin: called when the records begin to arrive.
        """

    async def read(
        self,
        topic: Topic,
        position: Position,
        wait_seconds: float,
        deadline: float,
        single: bool = False,
        on_begin: abc.Callable[[], None] = ignore_begin,
    ) -> expression.Result[Records, StoreError]:
        """Return records from a position on, waiting for the first one.

        The error is ``Restored`` if the position is of another era.

        :param deadline: when the answer has to begin, as in ``newest``.
        :param single: whether to return the first record only.
        :param on_begin: called when records begin to arrive.
        """

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
        deadline: float,
    ) -> expression.Result[Membership, StoreError]:
        """Join a group, or renew the membership."""

    async def leave(self, group: str, member: str, deadline: float) -> bool:
        """Leave a group, so that the membership need not expire first.

        :return: whether the store confirmed that the member has left.
        """

    async def owner(
        self, group: str, partition: int, deadline: float
    ) -> expression.Result[GroupView, StoreError]:
        """Return the owner of a partition."""
