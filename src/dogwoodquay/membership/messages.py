"""Messages of the failure detector."""

from __future__ import annotations

from . import api
from ..wire import api as wire_api

__all__ = ['Ping', 'PingFor', 'Pong']


class Ping(wire_api.Message, frozen=True, tag='member.ping'):
    """Asks the receiver for a sign of life.

    ``seen_incarnation`` and ``seen_state`` are the sender's record of the
    receiver, which may refute it. The incarnation is zero if there is none.
    """

    sender: api.Member
    seen_incarnation: int = 0
    seen_state: api.MemberState = api.MemberState.LIVE


class Pong(wire_api.Message, frozen=True, tag='member.pong'):
    """The answer to a ping.

    ``members_digest`` is the hash of the members that the sender knows.
    """

    sender: api.Member
    members_digest: int
    seen_incarnation: int = 0
    seen_state: api.MemberState = api.MemberState.LIVE


class PingFor(wire_api.Message, frozen=True, tag='member.ping_for'):
    """Asks the receiver to ping another member and return its answer."""

    sender: api.Member
    target: api.Member
