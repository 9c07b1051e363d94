"""Finds out which live instances have applied a configuration offset."""

from __future__ import annotations

import typing

from . import fanout
from ..operators import api as operators_api
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..membership import api as membership_api

__all__ = ['InForceQuery', 'OffsetAnswer', 'OffsetRequest']


class OffsetRequest(wire_api.Message, frozen=True, tag='offset?'):
    """Asks for the offset of the active configuration."""


class OffsetAnswer(wire_api.Message, frozen=True, tag='offset'):
    """The offset of the sender's active configuration."""

    offset: int


class InForceQuery:
    """Asks all live instances for their configuration offset.

    :param offset: returns this instance's offset, also for peers that ask.
    """

    def __init__(
        self,
        instance_id: str,
        transport: wire_api.Transport,
        membership: membership_api.Membership,
        offset: abc.Callable[[], int],
    ) -> None:
        self._instance_id = instance_id
        self._transport = transport
        self._membership = membership
        self._offset = offset
        transport.register(OffsetRequest, self._on_request)
        transport.register(OffsetAnswer)

    async def ask(self, offset: int, deadline: float) -> operators_api.InForce:
        """Return which live instances have applied an offset.

        ``silent`` are the instances that do not answer by the deadline.
        """
        others = [
            member
            for member in self._membership.live()
            if member.instance_id != self._instance_id
        ]
        answers = await fanout.request_all(
            self._transport, others, OffsetRequest(), OffsetAnswer, deadline
        )
        offsets = {name: answer.offset for name, answer in answers.items()}
        offsets[self._instance_id] = self._offset()
        return operators_api.InForce(
            offset=offset,
            in_force=_sorted(
                name for name, active in offsets.items() if active >= offset
            ),
            behind=_sorted(
                name for name, active in offsets.items() if active < offset
            ),
            silent=_sorted(
                member.instance_id
                for member in others
                if member.instance_id not in offsets
            ),
        )

    async def _on_request(
        self, sender: wire_api.Sender, message: OffsetRequest, deadline: float
    ) -> OffsetAnswer:
        return OffsetAnswer(self._offset())


def _sorted(names: abc.Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(names))
