"""The names of instances in the group, which contain their addresses."""

from __future__ import annotations

from . import settings as gateway_settings

__all__ = ['member_address', 'member_name']


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
