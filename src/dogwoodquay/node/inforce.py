"""Which configuration offset is in force on which live instance."""

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
    """Asks which configuration offset is in force."""


class OffsetAnswer(wire_api.Message, frozen=True, tag='offset'):
    """The configuration offset in force at the sender."""

    offset: int


class InForceQuery:
    """Answers peers, and asks them all."""

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
        transport.register(OffsetRequest, self._answer)
        transport.register(OffsetAnswer)

    async def ask(self, offset: int, deadline: float) -> operators_api.InForce:
        """Sort the live instances by whether an offset is in force there."""
        others = [
            member
            for member in self._membership.live()
            if member.instance_id != self._instance_id
        ]
        answers = await fanout.ask_all(
            self._transport, others, OffsetRequest(), OffsetAnswer, deadline
        )
        known = {name: answer.offset for name, answer in answers.items()}
        known[self._instance_id] = self._offset()
        return operators_api.InForce(
            offset=offset,
            in_force=_names(
                name for name, at in known.items() if at >= offset
            ),
            behind=_names(name for name, at in known.items() if at < offset),
            silent=_names(
                member.instance_id
                for member in others
                if member.instance_id not in known
            ),
        )

    async def _answer(
        self, sender: wire_api.Sender, message: OffsetRequest, deadline: float
    ) -> OffsetAnswer:
        return OffsetAnswer(self._offset())


def _names(names: abc.Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(names))
