"""The results of forwarding a request."""

from __future__ import annotations

import typing

from . import api
from . import outcomes

__all__ = ['Cut', 'Result']


class Cut(typing.NamedTuple):
    """A stream that has started and cannot be completed."""

    reason: str


Result = outcomes.Whole | outcomes.Streamed | api.Refusal | Cut
