"""Admission that tells others of each request that comes in."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from ..admission import api as admission_api
    from ..records import api as records_api

__all__ = ['ObservedAdmission']


class ObservedAdmission:
    """Implements ``admission.api.Admission`` around another one."""

    def __init__(
        self,
        inner: admission_api.Admission,
        observers: abc.Sequence[abc.Callable[[admission_api.Ticket], None]],
    ) -> None:
        self._inner = inner
        self._observers = observers

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Take in callers' limits."""
        self._inner.update_catalog(catalog, now)

    def set_capacity(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        """Set how many requests an artifact can run here at a time."""
        self._inner.set_capacity(artifact, slots, first_token_seconds)

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""
        self._inner.set_share(caller, share)

    def offer(
        self, ticket: admission_api.Ticket, now: float
    ) -> (
        admission_api.Admitted | admission_api.Queued | admission_api.Rejected
    ):
        """Tell the observers and decide on a new request."""
        for observe in self._observers:
            observe(ticket)
        return self._inner.offer(ticket, now)

    def release(
        self, request_id: str, now: float
    ) -> tuple[admission_api.Admitted | admission_api.Rejected, ...]:
        """Note that a request ended, ran or not, and release others."""
        return self._inner.release(request_id, now)

    def tick(
        self, now: float
    ) -> tuple[admission_api.Admitted | admission_api.Rejected, ...]:
        """Release or reject what waits, by the present time."""
        return self._inner.tick(now)

    def next_due(self) -> float:
        """Return when ``tick`` has something to do; infinity for never."""
        return self._inner.next_due()
