"""The requests that a connection was used for."""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'MAX_BARRED_REQUESTS',
    'MAX_REMEMBERED_REQUESTS',
    'MIN_RECENT_REQUESTS',
    'Use',
    'Uses',
]

# A connection on which more requests than these are barred is closed.
MAX_BARRED_REQUESTS: typing.Final = 256
# The answered requests that a connection remembers at least.
MIN_RECENT_REQUESTS: typing.Final = 32
# A connection that would have to remember more is closed.
MAX_REMEMBERED_REQUESTS: typing.Final = 1024


class Use(typing.NamedTuple):
    """The use of a connection by one request, for logs.

    ``connection`` numbers the connections of a pool, and ``earlier`` is how
    many requests were sent on it before.
    """

    connection: int = 0
    earlier: int = 0


class _Answered(typing.NamedTuple):
    """A request that was answered; it may be sent again until a deadline."""

    method: str
    deadline: float


class Uses(msgspec.Struct):
    """The requests that a connection was used for, by id.

    A server may write an answer again, at any later time. On a connection
    that is used for the same request once more, it could not be told from the
    next answer.

    :param number: the number of the connection in its pool.
    """

    number: int = 0
    _count: int = 0
    _answered: dict[str, _Answered] = msgspec.field(default_factory=dict)
    _barred: dict[str, str] = msgspec.field(default_factory=dict)

    @property
    def exhausted(self) -> bool:
        """Whether there is too much to remember of the connection."""
        return (
            len(self._barred) > MAX_BARRED_REQUESTS
            or len(self._answered) > MAX_REMEMBERED_REQUESTS
        )

    def begin(self) -> Use:
        """Count one more request on the connection."""
        use = Use(self.number, self._count)
        self._count += 1
        return use

    def includes(self, request_ids: abc.Iterable[str]) -> bool:
        """Whether the connection was used for one of these requests."""
        return any(
            item in self._answered or item in self._barred
            for item in request_ids
        )

    def method_of(self, request_id: str) -> str | None:
        """Return the method of a request, ``None`` if it is not known."""
        answered = self._answered.get(request_id)
        if answered is not None:
            return answered.method
        return self._barred.get(request_id)

    def add(
        self,
        request_id: str,
        method: str,
        barred: bool,
        deadline: float,
        now: float,
    ) -> None:
        """Record a request; one that is barred is never forgotten.

        :param request_id: empty for a request without an id, which is not
            remembered.
        :param deadline: until when the request may be sent again.
        """
        if not request_id:
            return
        if barred:
            self._barred[request_id] = method
            return
        self._answered.pop(request_id, None)
        self._answered[request_id] = _Answered(method, deadline)
        while len(self._answered) > MIN_RECENT_REQUESTS:
            oldest = next(iter(self._answered))
            if self._answered[oldest].deadline > now:
                return
            del self._answered[oldest]
