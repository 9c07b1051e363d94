"""What is known of one request under way, and how it may be ended early."""

from __future__ import annotations

import typing

import anyio

from . import api
from . import reasons
from ..retry import api as retry_api

__all__ = ['Flight']

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


class Flight:
    """One request under way.

    As long as a request's key is undecided, an earlier call may have run
    under it, so nobody may say that it did not run.
    """

    def __init__(self, call: api.Call, now: float) -> None:
        self._call = call
        self._started = now
        self._worst = retry_api.RunState.NOT_RUN
        self._exposed = False
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
    def started(self) -> float:
        """When the request was taken on."""
        return self._started

    @property
    def scope(self) -> anyio.CancelScope:
        """Ends at the deadline or when the flight is ended."""
        return self._scope

    @property
    def outcome(self) -> reasons.Outcome:
        """What can be said of the request if it ended now."""
        if self._exposed:
            return reasons.Outcome.UNKNOWN
        if self._key_pending:
            return reasons.Outcome.UNKNOWN
        return _OUTCOMES[self._worst]

    def key_decided(self) -> None:
        """Note that the key is granted, so that outcomes are its own."""
        self._key_pending = False

    def exposed(self) -> None:
        """Note that an attempt may reach an upstream from now on."""
        self._exposed = True

    def attempt_ended(self, run_state: retry_api.RunState) -> None:
        """Note what an attempt left behind."""
        self._exposed = False
        if _SEVERITY[run_state] > _SEVERITY[self._worst]:
            self._worst = run_state

    def end(self, reason: reasons.Reason) -> None:
        """End the request now."""
        self._end_reason = reason
        self._scope.cancel()

    def ended(self) -> api.Refusal:
        """Return what the caller is told after an early end."""
        return api.Refusal(self._end_reason, self.outcome)

    def refuse(
        self, reason: reasons.Reason, detail: str = '', retry_at: float = 0.0
    ) -> api.Refusal:
        """Return a refusal that tells the truth about earlier attempts."""
        return api.Refusal(reason, self.outcome, detail, retry_at)
