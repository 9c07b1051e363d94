"""The abstract part of admission: requests and the decisions on them."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from ..records import api as records_api

__all__ = ['Admission', 'Admitted', 'Queued', 'Rejected', 'Ticket']


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request for admission.

    A higher ``priority`` is admitted first. ``deadline`` is the time by
    which the first byte of the answer is due, in seconds since the Unix
    epoch.
    """

    request_id: str
    caller: str
    artifact: str
    priority: int
    deadline: float
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request can be sent to an upstream now."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits until ``release`` or ``tick`` decides on it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request is refused and did not run.

    ``reason`` is the label that the metrics count it under.
    """

    request_id: str
    reason: str
    retry_at: float


class Admission(typing.Protocol):
    """Decides when each request is sent to an upstream."""

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Replace the callers' limits by those of a catalog."""

    def set_capacity(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        """Set how many requests for an artifact may run at a time.

        :param first_token_seconds: the expected time from the start of a
            request to the first byte of its answer.
        """

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""

    def offer(
        self, ticket: Ticket, now: float
    ) -> Admitted | Queued | Rejected:
        """Admit, queue or reject a new request."""

    def release(
        self, request_id: str, now: float
    ) -> tuple[Admitted | Rejected, ...]:
        """End a running or queued request, and admit queued ones."""

    def tick(self, now: float) -> tuple[Admitted | Rejected, ...]:
        """Admit queued requests that can start, and reject others.

        Rejected are displaced requests and those that cannot meet their
        deadline.
        """

    def next_due(self) -> float:
        """Return when to call ``tick`` next; infinity if not needed."""
