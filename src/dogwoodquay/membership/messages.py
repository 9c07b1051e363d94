"""Messages of the failure detector."""

from __future__ import annotations

from . import api
from ..wire import api as wire_api

__all__ = ['Ping', 'PingFor', 'Pong']


class Ping(wire_api.Message, frozen=True, tag='member.ping'):
    """Asks whether the receiver lives, and says how the sender sees it.

    ``seen_incarnation`` is zero when the sender knows nothing of it.
    """

    sender: api.Member
    seen_incarnation: int = 0
    seen_state: api.MemberState = api.MemberState.LIVE


class Pong(wire_api.Message, frozen=True, tag='member.pong'):
    """The answer to a ping; ``view`` is the hash of the sender's members."""

    sender: api.Member
    view: int
    seen_incarnation: int = 0
    seen_state: api.MemberState = api.MemberState.LIVE


class PingFor(wire_api.Message, frozen=True, tag='member.ping_for'):
    """Asks the receiver to ping another member and pass its answer back."""

    sender: api.Member
    target: api.Member
