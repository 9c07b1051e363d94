"""Links of limited rate between the instances and the stand-in store."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import struct
import typing

from . import http

if typing.TYPE_CHECKING:
    from collections import abc

    from . import store as stores

__all__ = ['Link', 'LinkedStore', 'Transfer']

_PIECE_BYTES: typing.Final = 4096
# The table of sockets is not read at one instant and may miss a socket.
_LOOKUPS: typing.Final = 20
_LOOKUP_SECONDS: typing.Final = 0.01
# The table's inode of a socket whose process has closed it.
_NO_INODE: typing.Final = '0'
_PAGE_HEADER: typing.Final = struct.Struct('>QQ')


@dataclasses.dataclass
class Transfer:
    """An answer that carries records of a topic.

    ``end`` is the offset after the last record, ``complete`` whether all of
    the answer was sent.
    """

    topic: str
    path: str
    end: int
    complete: bool = False


class Link:
    """One process's way to the store.

    All answers share ``bytes_per_second``; an aborted answer frees its share.
    Without a rate, answers are sent at once. A link that is ``cut`` carries
    nothing. ``lost_answers`` counts, by topic, the next answers with records
    that get lost.
    """

    def __init__(self, process_id: int) -> None:
        self.process_id = process_id
        self.bytes_per_second: float | None = None
        self.cut = False
        self.lost_answers: collections.Counter[str] = collections.Counter()
        self._transfers: list[Transfer] = []
        self._polls: collections.Counter[str] = collections.Counter()
        self._turn = asyncio.Lock()

    def transfers(self, topic: str) -> list[Transfer]:
        """Return the answers with records of a topic that have begun."""
        return [item for item in self._transfers if item.topic == topic]

    def forget_transfers(self) -> None:
        """Forget the answers so far."""
        self._transfers.clear()

    def is_polling(self, topic: str) -> bool:
        """Whether a read of a topic waits for records."""
        return self._polls[topic] > 0

    @contextlib.contextmanager
    def polling(self, request: http.Request) -> abc.Iterator[None]:
        """Count a call while the store does not answer it."""
        topic = request.query.get('Topic', '')
        self._polls[topic] += 1
        try:
            yield
        finally:
            self._polls[topic] -= 1

    def loses(self, request: http.Request, answer: http.Answer) -> bool:
        """Whether an answer gets lost on its way."""
        transfer = _transfer(request, answer)
        if self.cut or transfer is None:
            return self.cut
        if not self.lost_answers[transfer.topic]:
            return False
        self.lost_answers[transfer.topic] -= 1
        return True

    def limit(self, request: http.Request, answer: http.Answer) -> http.Answer:
        """Return an answer whose body is sent at the rate of this link."""
        transfer = _transfer(request, answer)
        if transfer is not None:
            self._transfers.append(transfer)
        return answer._replace(pieces=self._pieces(answer.body, transfer))

    async def _pieces(
        self, body: bytes, transfer: Transfer | None
    ) -> abc.AsyncIterator[bytes]:
        for start in range(0, len(body), _PIECE_BYTES):
            piece = body[start : start + _PIECE_BYTES]
            async with self._turn:
                if self.bytes_per_second is not None:
                    await asyncio.sleep(len(piece) / self.bytes_per_second)
            yield piece
        if transfer is not None:
            transfer.complete = True


class LinkedStore:
    """Serves a store to processes with a link each.

    Instances derive a shared secret from the store's address, so that links
    can't have addresses of their own. A caller is told by its socket, which
    takes long if the machine has many; with ``shared`` nobody is told.
    """

    def __init__(self, store: stores.Store) -> None:
        self.http = http.HttpServer(self._handle)
        self.links: list[Link] = []
        self.shared = False
        self._store = store
        self._links_by_inode: dict[str, Link] = {}

    def add(self, process_id: int) -> None:
        """Add the link of a process."""
        self.links.append(Link(process_id))

    async def _handle(self, request: http.Request) -> http.Answer | None:
        if self.shared:
            return await self._store.handle(request)
        link = await self._link(request)
        with link.polling(request) if link else contextlib.nullcontext():
            answer = await self._store.handle(request)
        if link is None or answer is None or link.loses(request, answer):
            return None
        return link.limit(request, answer)

    async def _link(self, request: http.Request) -> Link | None:
        """Return the caller's link, or ``None`` if the caller is gone."""
        for _ in range(_LOOKUPS):
            inode = _socket_inode(request.peer_port, self.http.port)
            if inode not in (_NO_INODE, *self._links_by_inode):
                self._find_sockets()
            if inode in self._links_by_inode:
                return self._links_by_inode[inode]
            await asyncio.sleep(_LOOKUP_SECONDS)
        return None

    def _find_sockets(self) -> None:
        """Learn the sockets of all processes, which takes long."""
        for link in self.links:
            for inode in _socket_inodes(link.process_id):
                self._links_by_inode[inode] = link


def _socket_inode(local_port: int, remote_port: int) -> str:
    """Return the inode of a loopback connection's socket, or that of none."""
    table = pathlib.Path('/proc/net/tcp').read_text('ascii')
    ends = [f'0100007F:{port:04X}' for port in (local_port, remote_port)]
    for line in table.splitlines()[1:]:
        fields = line.split()
        if fields[1:3] == ends:
            return fields[9]
    return _NO_INODE


def _socket_inodes(process_id: int) -> set[str]:
    """Return the inodes of a process's sockets; none if it has ended."""
    inodes = set()
    with contextlib.suppress(OSError):
        for name in pathlib.Path(f'/proc/{process_id}/fd').iterdir():
            with contextlib.suppress(OSError):
                target = str(name.readlink())
                if target.startswith('socket:['):
                    inodes.add(target[len('socket:[') : -1])
    return inodes


def _transfer(request: http.Request, answer: http.Answer) -> Transfer | None:
    """Return the transfer of an answer, or ``None`` if it has no record."""
    if answer.status != 200:
        return None
    if request.path == '/log-newest':
        page = json.loads(answer.body)
        if page['items']:
            return Transfer(request.query['Topic'], request.path, page['End'])
    if request.path == '/log-read' and len(answer.body) > _PAGE_HEADER.size:
        end, _ = _PAGE_HEADER.unpack_from(answer.body)
        return Transfer(request.query['Topic'], request.path, end)
    return None
