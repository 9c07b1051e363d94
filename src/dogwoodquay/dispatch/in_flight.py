"""The state of an in-flight request and its early end."""

from __future__ import annotations

import typing

import anyio

from . import api
from . import reasons
from ..retry import api as retry_api

__all__ = ['InFlightRequest']

_OUTCOMES: typing.Final = {
    retry_api.RunState.NOT_RUN: reasons.Outcome.NOT_RUN,
    retry_api.RunState.FAILED: reasons.Outcome.FAILED,
    retry_api.RunState.MAY_HAVE_RUN: reasons.Outcome.UNKNOWN,
}
_SEVERITY: typing.Final = {
    retry_api.RunState.NOT_RUN: 0,
    retry_api.RunState.FAILED: 1,
    retry_api.RunState.MAY_HAVE_RUN: 2,
}


class InFlightRequest:
    """Tracks the outcome and the early end of an in-flight request.

    Until its idempotency key is granted, an earlier call may have run under
    the key, so the outcome is unknown.
    """

    def __init__(self, call: api.Call, now: float) -> None:
        self._call = call
        self._started_at = now
        self._worst_run_state = retry_api.RunState.NOT_RUN
        self._attempt_running = False
        self._key_pending = bool(call.key)
        self._end_reason = reasons.Reason.DEADLINE_PASSED
        remaining = max(0.0, call.deadline - now)
        self._scope = anyio.CancelScope(
            deadline=anyio.current_time() + remaining
        )

    @property
    def call(self) -> api.Call:
        """The request."""
        return self._call

    @property
    def started_at(self) -> float:
        """The time at which the request was accepted."""
        return self._started_at

    @property
    def scope(self) -> anyio.CancelScope:
        """The scope that is cancelled at the deadline or at an early end."""
        return self._scope

    @property
    def outcome(self) -> reasons.Outcome:
        """The outcome to report if the request ended now."""
        if self._attempt_running:
            return reasons.Outcome.UNKNOWN
        if self._key_pending:
            return reasons.Outcome.UNKNOWN
        return _OUTCOMES[self._worst_run_state]

    def on_key_granted(self) -> None:
        """Report the outcome of this call alone from now on."""
        self._key_pending = False

    def on_attempt_started(self) -> None:
        """Treat the outcome as unknown until the attempt ends."""
        self._attempt_running = True

    def on_attempt_ended(self, run_state: retry_api.RunState) -> None:
        """Include the run state of an ended attempt in the outcome."""
        self._attempt_running = False
        if _SEVERITY[run_state] > _SEVERITY[self._worst_run_state]:
            self._worst_run_state = run_state

    def end(self, reason: reasons.Reason) -> None:
        """Cancel the request for a reason."""
        self._end_reason = reason
        self._scope.cancel()

    def early_end_refusal(self) -> api.Refusal:
        """Return the refusal for a request that was ended early."""
        return api.Refusal(self._end_reason, self.outcome)

    def refuse(
        self, reason: reasons.Reason, detail: str = '', retry_at: float = 0.0
    ) -> api.Refusal:
        """Return a refusal with the outcome of all attempts so far."""
        return api.Refusal(reason, self.outcome, detail, retry_at)
