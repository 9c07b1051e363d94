"""The abstract part of claims on idempotency keys.

Only the instance whose claim the log decides to be first may send the request,
and it sends it once.
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
    """One request's wish to run under a key.

    ``body_digest`` covers method, path and body, so that the same key with
    another request is found out. ``boot`` tells the process of the instance.
    """

    claim_id: str
    caller: str
    key: str
    body_digest: bytes
    instance: str
    boot: int = 0


class StoredAnswer(msgspec.Struct, frozen=True):
    """The final answer under a key; ``truncated`` when the body was too big.

    ``holder`` names the instance that may still have the whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    truncated: bool = False
    holder: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The claim is the first under its key: send the request, once."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An earlier claim's request is still running."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """An earlier claim's request has this answer."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """An earlier claim's request may or may not have run; nobody can tell."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used by this caller for another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefused:
    """The request did not run; ``reason`` is the counter's label.

    ``attempt_only`` is true when just this attempt is known not to have run:
    without the log nobody can tell whether there was an earlier one.
    """

    reason: str
    retry_at: float | None = None
    attempt_only: bool = False


ClaimAnswer = Granted | Running | Known | Unknown | Conflict | KeyRefused


class Claims(typing.Protocol):
    """Decides claims by log order."""

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> ClaimAnswer:
        """Claim a key; returns once the log has decided."""

    async def settle(
        self, claim: Claim, answer: StoredAnswer | None, deadline: float
    ) -> None:
        """Record the end of a granted claim.

        :param answer: the final answer, or ``None`` when the request may
            have run and its answer is lost.
        """

    async def withdraw(self, claim: Claim, deadline: float) -> bool:
        """Free a granted key whose request certainly did not run.

        :return: whether the withdrawal is on the log.
        """
