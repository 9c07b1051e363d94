"""The abstract part of admission: tickets, queue places and refusals."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from ..records import api as records_api

__all__ = ['Admission', 'Admitted', 'Queued', 'Rejected', 'Ticket']


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to be let in.

    A higher ``priority`` goes first; ``deadline`` is that of the first byte
    of the answer, in seconds since the Unix epoch.
    """

    request_id: str
    caller: str
    artifact: str
    priority: int
    deadline: float
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go to an upstream now."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later step admits or rejects it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request did not run; ``reason`` is the counter's label."""

    request_id: str
    reason: str
    retry_at: float


class Admission(typing.Protocol):
    """Decides who goes when; every call may release earlier requests."""

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Take in callers' limits."""

    def set_capacity(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        """Set how many requests an artifact can run here at a time."""

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""

    def offer(
        self, ticket: Ticket, now: float
    ) -> Admitted | Queued | Rejected:
        """Decide on a new request."""

    def release(
        self, request_id: str, now: float
    ) -> tuple[Admitted | Rejected, ...]:
        """Note that a request ended, ran or not, and release others."""

    def tick(self, now: float) -> tuple[Admitted | Rejected, ...]:
        """Release or reject what waits, by the present time."""

    def next_due(self) -> float:
        """Return when ``tick`` has something to do; infinity for never."""
