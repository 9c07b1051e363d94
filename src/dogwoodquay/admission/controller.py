"""Admission with per-caller shares and bounded, ordered queues."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from ..records import api as records_api

__all__ = ['AdmissionSettings', 'FairAdmission']


class AdmissionSettings(typing.NamedTuple):
    """Bounds of the queues of one instance."""

    queue_limit: int = 128


class FairAdmission:
    """Decides who goes when; see ``api.Admission``."""

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Take in callers' limits."""
        raise NotImplementedError

    def set_capacity(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        """Set how many requests an artifact can run here at a time."""
        raise NotImplementedError

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""
        raise NotImplementedError

    def offer(
        self, ticket: api.Ticket, now: float
    ) -> api.Admitted | api.Queued | api.Rejected:
        """Decide on a new request."""
        raise NotImplementedError

    def release(
        self, request_id: str, now: float
    ) -> tuple[api.Admitted | api.Rejected, ...]:
        """Note that a request ended, ran or not, and release others."""
        raise NotImplementedError

    def tick(self, now: float) -> tuple[api.Admitted | api.Rejected, ...]:
        """Release or reject what waits, by the present time."""
        raise NotImplementedError

    def next_due(self) -> float:
        """Return when ``tick`` has something to do; infinity for never."""
        raise NotImplementedError
