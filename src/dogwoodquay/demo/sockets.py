"""Breaks this process's connections on a port, as a crash would."""

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
    """Shut down every connection whose own port is one of these.

    :return: the number of sockets.
    """
    broken = 0
    for name in os.listdir(_DESCRIPTORS):
        with contextlib.suppress(OSError):
            broken += _break(int(name), ports)
    return broken


def _break(descriptor: int, ports: abc.Collection[int]) -> int:
    copy = os.dup(descriptor)
    try:
        found = socket.socket(fileno=copy)
    except OSError:
        os.close(copy)
        raise
    with found:
        if found.family is not socket.AF_INET:
            return 0
        if found.getsockname()[1] not in ports:
            return 0
        if found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return 0
        found.shutdown(socket.SHUT_RDWR)
    return 1
