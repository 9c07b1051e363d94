"""The platform's metadata store: logs, keyed topics and groups."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import struct
import time

from . import web

PARTS = 12


class _Log:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}


class _Group:
    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}
        self.owners: list[str] = [''] * PARTS


class _State:
    """All that the store keeps."""

    def __init__(self) -> None:
        self.logs: dict[tuple[str, int], _Log] = {}
        self.groups: dict[str, _Group] = {}


class Store:
    """Answers the calls that the gateways make.

    ``era`` is sent with all answers and rises with each return from a copy.
    """

    def __init__(self) -> None:
        self._state = _State()
        self.era = 1
        self.web = web.Server(self._handle)

    def copy(self) -> _State:
        """Return a copy from which the store may come back."""
        return copy.deepcopy(self._state)

    def come_back(self, state: _State) -> None:
        """Replace all that is kept; the store has to be away."""
        self._state = copy.deepcopy(state)
        self.era += 1

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a record of the operator or a server; ``None`` drops it."""
        log = self._log(topic, 0)
        name = key.encode()
        record = bytes([len(name)]) + name + (value or b'')
        if value:
            log.newest[key] = (len(log.records), value)
        else:
            log.newest.pop(key, None)
        log.records.append(record)

    def newest(self, topic: str, key: str) -> bytes | None:
        found = self._log(topic, 0).newest.get(key)
        return None if found is None else found[1]

    def owner(self, group: str = 'engine-orders') -> str:
        """Return the owner of the first partition of a group."""
        found = self._state.groups.get(group)
        if found is None:
            return ''
        self._expire(found)
        return found.owners[0]

    def generation(self, group: str = 'engine-orders') -> int:
        found = self._state.groups.get(group)
        return 0 if found is None else found.generation

    def _log(self, topic: str, part: int) -> _Log:
        return self._state.logs.setdefault((topic, part), _Log())

    async def _handle(self, request: web.Request) -> web.Answer:
        await asyncio.sleep(0.004)
        answer = await self._answer(request)
        era = ('Store-Era', str(self.era))
        return answer._replace(headers=(*answer.headers, era))

    async def _answer(self, request: web.Request) -> web.Answer:
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
                return self._owners(request.query['group'])
        return web.Answer(404)

    def _page(self, request: web.Request) -> web.Answer:
        log = self._log(request.query['Topic'], 0)
        items = [
            {
                'Key': key,
                'Value': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in log.newest.items()
        ]
        fields = {'items': items, 'HasMore': False, 'End': len(log.records)}
        return _json(fields)

    async def _read(self, request: web.Request) -> web.Answer:
        topic, part = request.query['Topic'], int(request.query['part'])
        start = int(request.query['From'])
        wait = int(request.query.get('WaitMs') or 0) / 1000
        until = time.monotonic() + wait
        era = self.era
        while True:
            log = self._log(topic, part)
            if start > len(log.records):
                return _json({'First': 0}, 410)
            if start < len(log.records) or time.monotonic() >= until:
                break
            await asyncio.sleep(0.005)
            if self.web.away or era != self.era:
                return web.Answer(503)
        body = struct.pack('>QQ', len(log.records), 0)
        limit = int(request.query.get('MaxKb') or 1024) * 1024
        size = 0
        for record in log.records[start:]:
            if size and size + len(record) > limit:
                break
            size += len(record)
            body += struct.pack('>I', len(record)) + record
        return web.Answer(200, (), body)

    def _append(self, request: web.Request) -> web.Answer:
        topic, part = request.query['Topic'], int(request.query['part'])
        if topic in ('keyed.op', 'keyed.servers'):
            return web.Answer(403)
        log, position = self._log(topic, part), 0
        offset = len(log.records)
        while position < len(request.body):
            (length,) = struct.unpack_from('>I', request.body, position)
            position += 4
            log.records.append(request.body[position : position + length])
            position += length
        return _json({'Offset': offset, 'End': len(log.records)})

    def _join(self, fields) -> web.Answer:
        group = self._state.groups.setdefault(fields['group'], _Group())
        self._expire(group)
        member = fields['Member']
        if member not in group.members:
            group.generation += 1
        group.members[member] = time.monotonic() + fields['TtlMs'] / 1000
        self._assign(group)
        topic = fields['Topics'][0]
        parts = [
            [topic, number, 0]
            for number, owner in enumerate(group.owners)
            if owner == member
        ]
        return _json({'Generation': group.generation, 'parts': parts})

    def _leave(self, fields) -> web.Answer:
        group = self._state.groups.setdefault(fields['group'], _Group())
        self._expire(group)
        if group.members.pop(fields['Member'], None) is not None:
            group.generation += 1
        self._assign(group)
        return _json({})

    def _owners(self, name: str) -> web.Answer:
        group = self._state.groups.get(name)
        if group is None:
            return _json([])
        self._expire(group)
        return _json(
            [
                ['engine-orders', number, owner or None, 0]
                for number, owner in enumerate(group.owners)
            ]
        )

    def _expire(self, group: _Group) -> None:
        now = time.monotonic()
        for member, until in tuple(group.members.items()):
            if now >= until:
                del group.members[member]
                group.generation += 1
        self._assign(group)

    def _assign(self, group: _Group) -> None:
        """Deal the partitions evenly; each stays where it is if it can."""
        members = list(group.members)
        owners = [item if item in members else '' for item in group.owners]
        if members:
            most = -(-PARTS // len(members))
            for number in reversed(range(PARTS)):
                owner = owners[number]
                if owner and owners.count(owner) > most:
                    owners[number] = ''
            for number in range(PARTS):
                if not owners[number]:
                    owners[number] = min(members, key=owners.count)
        group.owners = owners


def _json(fields, status: int = 200) -> web.Answer:
    kind = (('Content-Type', 'application/json'),)
    return web.Answer(status, kind, json.dumps(fields).encode())
