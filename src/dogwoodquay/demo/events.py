"""Parses the event stream of a streamed reply."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Problem', 'StreamText', 'parse_problem']

DONE: typing.Final = '[DONE]'


class Problem(msgspec.Struct, frozen=True):
    """The fields of an error reply that a caller needs."""

    reason: str = 'unreadable'
    outcome: str = 'unknown'


class _Delta(msgspec.Struct, frozen=True):
    content: str = ''


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()


class _Chunk(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()


@dataclasses.dataclass(slots=True)
class StreamText:
    """The text received from a stream, over all its connections."""

    last_event: int = -1
    complete: bool = False
    problem: Problem | None = None
    _parts: list[str] = dataclasses.field(default_factory=list)

    @property
    def text(self) -> str:
        """The text received so far."""
        return ''.join(self._parts)

    async def read(self, lines: abc.AsyncIterable[str]) -> None:
        """Read the lines of one connection until it ends."""
        event_id, kind = self.last_event, 'message'
        async for line in lines:
            name, _, value = line.partition(':')
            value = value.removeprefix(' ')
            match name:
                case 'id':
                    event_id = int(value)
                case 'event':
                    kind = value
                case 'data':
                    self._on_data(event_id, kind, value)
                case '':
                    kind = 'message'

    def _on_data(self, event_id: int, kind: str, data: str) -> None:
        if kind == 'error':
            self.problem = parse_problem(data.encode())
            return
        self.last_event = event_id
        if data == DONE:
            self.complete = True
            return
        chunk = msgspec.json.decode(data, type=_Chunk)
        self._parts.extend(choice.delta.content for choice in chunk.choices)


def parse_problem(body: bytes) -> Problem:
    """Parse an error body; an unreadable one gives the default."""
    try:
        return msgspec.json.decode(body, type=Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Problem()
