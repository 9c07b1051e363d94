"""What the failure detector wants done."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from . import api
    from ..wire import api as wire_api

__all__ = [
    'Changed',
    'Contact',
    'Effect',
    'Neighbours',
    'Probe',
    'ProbeVia',
    'Publish',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Ping a member directly."""

    probe_id: int
    target: api.Member
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeVia:
    """Have a member pinged by another one."""

    probe_id: int
    relay: api.Member
    target: api.Member
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Ping an instance of the platform's list that is not a live member."""

    instance_id: str
    address: wire_api.PeerAddress
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Put a report on the board."""

    member: api.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A member changed; tell those who watch."""

    member: api.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbours:
    """The members that this instance keeps in touch with have changed."""

    members: tuple[api.Member, ...]


Effect = Probe | ProbeVia | Contact | Publish | Changed | Neighbours
