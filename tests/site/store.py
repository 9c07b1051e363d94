"""A stand-in of the platform's store with keyed topics and groups."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import copy
import dataclasses
import json
import struct
import time
import typing

from . import endless
from . import http

__all__ = ['Store', 'StoreCopy']

_POLL_SECONDS: typing.Final = 0.01
# The topics that only the operator and the servers write to.
_FOREIGN_TOPICS: typing.Final = ('keyed.op', 'keyed.servers')


@dataclasses.dataclass
class _Topic:
    """A topic with one partition; records are pairs of key and value."""

    records: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    first: int = 0

    @property
    def end(self) -> int:
        """The offset after the last record."""
        return self.first + len(self.records)


@dataclasses.dataclass
class _RawTopic:
    """A topic without keys, whose history may be dropped."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0

    @property
    def end(self) -> int:
        """The offset after the last record."""
        return self.first + len(self.records)


@dataclasses.dataclass
class _Group:
    """A consumer group for one partition."""

    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    owner: str = ''


class StoreCopy(typing.NamedTuple):
    """All that a store keeps at one time."""

    topics: dict[str, _Topic]
    raw: dict[str, _RawTopic]
    newest: dict[str, dict[str, tuple[int, bytes]]]
    groups: dict[str, _Group]


class Store:
    """Keeps records in memory.

    Tests make it unavailable or slow, drop the history of a topic, or restore
    it from a copy, with which its era rises. With ``strict``, a read from an
    offset beyond the end of a topic is answered with 410. ``endless`` is what
    all answers send without end.
    """

    def __init__(self) -> None:
        self.unavailable = False
        self.strict = False
        self.endless: endless.Kind | None = None
        self.answer_seconds = 0.0
        self.era = 1
        self.calls: list[str] = []
        self.appends: list[float] = []
        self._topics: dict[str, _Topic] = {}
        self._raw: dict[str, _RawTopic] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._groups: dict[str, _Group] = {}

    def copy(self) -> StoreCopy:
        """Return a copy of all that is kept."""
        kept = (self._topics, self._raw, self._newest, self._groups)
        return StoreCopy(*copy.deepcopy(kept))

    def restore(self, kept: StoreCopy) -> None:
        """Come back from a copy; what was written since is lost."""
        self.era += 1
        self._topics, self._raw, self._newest, self._groups = copy.deepcopy(
            tuple(kept)
        )

    def owner(self, group: str = 'engine-orders') -> str:
        """Return the owner of a group's partition, or an empty string."""
        group_state = self._groups.get(group)
        if group_state is None:
            return ''
        self._expire(group_state)
        return group_state.owner

    def put(self, topic: str, key: str, value: typing.Any) -> None:
        """Append a record; the value ``None`` deletes its key."""
        body = b'' if value is None else json.dumps(value).encode()
        self.put_bytes(topic, key, body)

    def put_bytes(self, topic: str, key: str, body: bytes) -> None:
        """Append a record with a value of any bytes."""
        topic_state = self._topics.setdefault(topic, _Topic())
        newest = self._newest.setdefault(topic, {})
        if body:
            newest[key] = (topic_state.end, body)
        else:
            newest.pop(key, None)
        topic_state.records.append((key, body))

    def drop_history(self, topic: str) -> None:
        """Drop the history of a topic; the newest record of each key stays."""
        if topic in self._raw:
            raw = self._raw[topic]
            raw.first, raw.records = raw.end, []
            return
        topic_state = self._topics.setdefault(topic, _Topic())
        topic_state.first = topic_state.end
        topic_state.records = []

    def raw_topics(self) -> list[str]:
        """Return the names of the topics without keys."""
        return list(self._raw)

    def append(self, topic: str, *records: bytes) -> int:
        """Append records to a topic without keys; return the first offset."""
        raw = self._raw.setdefault(topic, _RawTopic())
        offset = raw.end
        raw.records.extend(records)
        return offset

    async def handle(self, request: http.Request) -> http.Answer | None:
        """Answer a call, with the era in the header."""
        self.calls.append(request.path)
        if self.answer_seconds:
            await asyncio.sleep(self.answer_seconds)
        if self.endless is not None:
            return http.Answer(raw=endless.parts(self.endless, ''))
        answer = await self._answer(request)
        if answer is None:
            return None
        era = ('Store-Era', str(self.era))
        return answer._replace(headers=(*answer.headers, era))

    async def _answer(self, request: http.Request) -> http.Answer | None:
        if self.unavailable:
            return http.Answer(503)
        match request.path:
            case '/log-newest':
                return self._page(request)
            case '/log-read':
                return await self._read(request)
            case '/log-append':
                return self._append(request)
            case '/log-join':
                return self._join(request.json())
            case '/log-leave':
                return self._leave(request.json())
            case '/log-owners':
                owner = self.owner(request.query['group'])
                row = ['engine-orders', 0, owner or None, 0]
                return http.Answer.of([row] if owner else [])
        return http.Answer(404)

    def _page(self, request: http.Request) -> http.Answer:
        topic = request.query['Topic']
        items = [
            {
                'Key': key,
                'Value': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in self._newest.get(topic, {}).items()
        ]
        end = self._topics.setdefault(topic, _Topic()).end
        return http.Answer.of({'items': items, 'HasMore': False, 'End': end})

    def _append(self, request: http.Request) -> http.Answer:
        """Append the records of a call, each with its length before it."""
        records, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from('>I', request.body, position)
            position += 4
            records.append(request.body[position : position + length])
            position += length
        topic = request.query['Topic']
        if topic in _FOREIGN_TOPICS:
            return http.Answer(403)
        if topic.startswith('keyed.'):
            for record in records:
                end = 1 + record[0]
                self.put_bytes(topic, record[1:end].decode(), record[end:])
            end = self._topics[topic].end
            return http.Answer.of({'Offset': end - len(records), 'End': end})
        self.appends.append(time.monotonic())
        offset = self.append(topic, *records)
        return http.Answer.of({'Offset': offset, 'End': offset + len(records)})

    def _read_raw(self, request: http.Request) -> http.Answer:
        topic = self._raw.setdefault(request.query['Topic'], _RawTopic())
        start = int(request.query['From'])
        if not self._has_offset(topic, start):
            return http.Answer.of({'First': topic.first}, 410)
        body = struct.pack('>QQ', topic.end, topic.first)
        for record in topic.records[start - topic.first :]:
            body += struct.pack('>I', len(record)) + record
        return http.Answer(200, body)

    async def _read(self, request: http.Request) -> http.Answer:
        if not request.query['Topic'].startswith('keyed.'):
            return self._read_raw(request)
        topic = self._topics.setdefault(request.query['Topic'], _Topic())
        start = int(request.query['From'])
        if not self._has_offset(topic, start):
            return http.Answer.of({'First': topic.first}, 410)
        until = time.monotonic() + int(request.query['WaitMs']) / 1000
        while start >= topic.end and time.monotonic() < until:
            await asyncio.sleep(_POLL_SECONDS)
            if self.unavailable:
                return http.Answer(503)
        if not self._has_offset(topic, start):
            return http.Answer.of({'First': topic.first}, 410)
        body = struct.pack('>QQ', topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            name = key.encode()
            record = bytes([len(name)]) + name + value
            body += struct.pack('>I', len(record)) + record
        return http.Answer(200, body)

    def _has_offset(self, topic: _Topic | _RawTopic, offset: int) -> bool:
        """Whether a read may begin there."""
        if self.strict and offset > topic.end:
            return False
        return offset >= topic.first

    def _join(self, fields: dict[str, typing.Any]) -> http.Answer:
        group = self._groups.setdefault(fields['group'], _Group())
        self._expire(group)
        member = fields['Member']
        if member not in group.members:
            group.generation += 1
        group.members[member] = time.monotonic() + fields['TtlMs'] / 1000
        self._assign_owner(group)
        parts = [[fields['Topics'][0], 0, 0]] if group.owner == member else []
        return http.Answer.of({'Generation': group.generation, 'parts': parts})

    def _leave(self, fields: dict[str, typing.Any]) -> http.Answer:
        group = self._groups.setdefault(fields['group'], _Group())
        with contextlib.suppress(KeyError):
            del group.members[fields['Member']]
            group.generation += 1
        self._assign_owner(group)
        return http.Answer.of({})

    def _expire(self, group: _Group) -> None:
        now = time.monotonic()
        for member, until in tuple(group.members.items()):
            if now >= until:
                del group.members[member]
                group.generation += 1
        self._assign_owner(group)

    def _assign_owner(self, group: _Group) -> None:
        if group.owner not in group.members:
            group.owner = next(iter(group.members), '')
