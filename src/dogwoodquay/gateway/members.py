"""The names of instances in the group, and how they reach each other."""

from __future__ import annotations

import typing

from . import settings as gateway_settings
from ..wire import settings as wire_settings

__all__ = ['member_address', 'member_name', 'peer_settings']

# The peers' shared secret is this prefix and the store's address as text,
# which all instances have in their settings.
# Connections of other instances that have not shown the secret yet, as a share
# of the descriptors.
UNAUTHENTICATED_SHARE: typing.Final = 0.125
MAX_UNAUTHENTICATED: typing.Final = 1000
SECRET_PREFIX: typing.Final = b'dogwoodquay peers of '


def member_name(settings: gateway_settings.InstanceSettings) -> str:
    """Return an instance's member name, which contains its peer address."""
    host, port = settings.peers
    return f'{settings.instance_id}@{host}:{port}'


def member_address(member: str) -> gateway_settings.Address | None:
    """Return the peer address in a member name, if it has one."""
    _, _, address = member.rpartition('@')
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        return None
    return gateway_settings.Address(host, int(port))


def peer_settings(
    settings: gateway_settings.InstanceSettings,
) -> wire_settings.WireSettings:
    """Return the settings of the protocol between instances."""
    max_unauthenticated = min(
        settings.descriptors * UNAUTHENTICATED_SHARE, MAX_UNAUTHENTICATED
    )
    secret = SECRET_PREFIX + f'{settings.store}'.encode()
    return wire_settings.WireSettings(
        instance_id=settings.instance_id,
        address=settings.peers.host,
        port=settings.peers.port,
        secrets=(secret,),
        handshake_seconds=1.0,
        backoff_max_seconds=1.0,
        max_unauthenticated=int(max_unauthenticated),
    )
