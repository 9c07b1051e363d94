"""Settings of the peer protocol."""

from __future__ import annotations

import ssl
import typing

import msgspec

__all__ = ['WireSettings']

_MIB: typing.Final = 1024 * 1024


class WireSettings(msgspec.Struct, frozen=True):
    """Addresses, secrets, limits and times of the peer protocol.

    A ``port`` of zero lets the system choose one. Client certificates are
    verified only if ``server_tls`` requires them.
    """

    instance_id: str
    address: str
    port: int
    secrets: tuple[bytes, ...]
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    max_frame_bytes: int = _MIB
    max_queue_bytes: int = 4 * _MIB
    max_calls: int = 1000
    max_connections: int = 1000
    max_unauthenticated: int = 512
    stream_window: int = 32
    handshake_seconds: float = 3.0
    send_seconds: float = 10.0
    idle_seconds: float = 120.0
    backoff_seconds: float = 0.2
    backoff_max_seconds: float = 10.0
