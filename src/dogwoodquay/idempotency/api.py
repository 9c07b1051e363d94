"""Interface of claims on idempotency keys.

The first claim on a key in the order of the log wins. Only its instance may
send the request, and only once.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

__all__ = [
    'Claim',
    'ClaimAnswer',
    'Claims',
    'Conflict',
    'Granted',
    'KeyRefused',
    'Known',
    'Running',
    'StoredAnswer',
    'Unknown',
]


class Claim(msgspec.Struct, frozen=True):
    """A request's claim on an idempotency key.

    ``body_digest`` covers the method, path and body and detects the use of a
    key for another request. ``boot`` is the incarnation of the instance.
    """

    claim_id: str
    caller: str
    key: str
    body_digest: bytes
    instance: str
    boot: int = 0


class StoredAnswer(msgspec.Struct, frozen=True):
    """The final answer for a key; ``truncated`` if the body was too large.

    ``holder`` is the instance that may still have the complete answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    truncated: bool = False
    holder: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The claim won its key: the request may be sent once."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The request of an earlier claim may still be running."""

    claimant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The request of an earlier claim ended with this answer."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request of an earlier claim may or may not have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The caller has used the key for another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefused:
    """The claim was refused, so this attempt did not run.

    ``reason`` is the label of a metric. ``attempt_only`` is true if an earlier
    attempt with the key may have run: while the log is unavailable, it is
    unknown whether there was one.
    """

    reason: str
    retry_at: float | None = None
    attempt_only: bool = False


ClaimAnswer = Granted | Running | Known | Unknown | Conflict | KeyRefused


class Claims(typing.Protocol):
    """Decides claims by their order in the log."""

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> ClaimAnswer:
        """Claim a key and wait for the decision of the log."""

    async def settle(
        self, claim: Claim, answer: StoredAnswer | None, deadline: float
    ) -> None:
        """Record the end of a granted claim.

        :param answer: the final answer, or ``None`` when the request may
            have run and its answer is lost.
        """

    async def withdraw(self, claim: Claim, deadline: float) -> bool:
        """Release a granted key whose request certainly did not run.

        :return: whether the withdrawal took effect in the log.
        """
