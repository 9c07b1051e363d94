"""Breaks connections of this process to simulate a crash."""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['break_connections']

_DESCRIPTORS: typing.Final = pathlib.Path('/proc/self/fd')


def break_connections(ports: abc.Collection[int]) -> int:
    """Shut down every IPv4 connection whose local port is one of ``ports``.

    :return: the number of connections shut down.
    """
    broken = 0
    for name in os.listdir(_DESCRIPTORS):
        with contextlib.suppress(OSError):
            broken += _shut_down_if_on(int(name), ports)
    return broken


def _shut_down_if_on(descriptor: int, ports: abc.Collection[int]) -> int:
    copy = os.dup(descriptor)
    try:
        connection = socket.socket(fileno=copy)
    except OSError:
        os.close(copy)
        raise
    with connection:
        if connection.family is not socket.AF_INET:
            return 0
        if connection.getsockname()[1] not in ports:
            return 0
        if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return 0
        connection.shutdown(socket.SHUT_RDWR)
    return 1
