"""Admission that notifies observers of each new request."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from ..admission import api as admission_api
    from ..records import api as records_api

__all__ = ['ObservedAdmission']


class ObservedAdmission:
    """Implements ``admission.api.Admission`` by delegation to ``inner``.

    :param observers: called with each request before the decision on it.
    """

    def __init__(
        self,
        inner: admission_api.Admission,
        observers: abc.Sequence[abc.Callable[[admission_api.Ticket], None]],
    ) -> None:
        self._inner = inner
        self._observers = observers

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Replace the callers' limits by those of a catalog."""
        self._inner.update_catalog(catalog, now)

    def set_capacity(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        """Set how many requests for an artifact may run at a time."""
        self._inner.set_capacity(artifact, slots, first_token_seconds)

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""
        self._inner.set_share(caller, share)

    def offer(
        self, ticket: admission_api.Ticket, now: float
    ) -> (
        admission_api.Admitted | admission_api.Queued | admission_api.Rejected
    ):
        """Notify the observers, then admit, queue or reject a request."""
        for observe in self._observers:
            observe(ticket)
        return self._inner.offer(ticket, now)

    def release(
        self, request_id: str, now: float
    ) -> tuple[admission_api.Admitted | admission_api.Rejected, ...]:
        """End a running or queued request, and admit queued ones."""
        return self._inner.release(request_id, now)

    def tick(
        self, now: float
    ) -> tuple[admission_api.Admitted | admission_api.Rejected, ...]:
        """Admit or reject the queued requests that are due for it."""
        return self._inner.tick(now)

    def next_due(self) -> float:
        """Return when to call ``tick`` next; infinity if not needed."""
        return self._inner.next_due()
