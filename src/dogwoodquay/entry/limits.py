"""Limits of the callers' interface."""

from __future__ import annotations

import msgspec

__all__ = ['Limits']


class Limits(msgspec.Struct, frozen=True):
    """Limits on requests, responses and streams of one instance.

    ``body_bytes`` and ``body_seconds`` apply to receiving one request body.
    ``write_stall_seconds`` ends a stream's reader whose connection accepts no
    data; ``whole_write_seconds`` limits the sending of a complete response.
    ``resume_seconds`` is how long a stream waits for a reader. Once its first
    connection is lost, a stream takes no more events while it has over
    ``stream_window_bytes`` of undelivered events. A stream that keeps over
    ``stream_kept_bytes`` drops its oldest delivered events. The limits with
    ``all`` in their name apply to all bodies or streams together.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 16 << 20
    all_bodies_bytes: int = 128 << 20
    body_seconds: float = 15.0
    max_deadline_seconds: float = 900.0
    write_stall_seconds: float = 30.0
    whole_write_seconds: float = 300.0
    resume_seconds: float = 60.0
    stream_window_bytes: int = 64 << 10
    stream_kept_bytes: int = 384 << 10
    max_streams: int = 5000
    all_streams_bytes: int = 96 << 20
