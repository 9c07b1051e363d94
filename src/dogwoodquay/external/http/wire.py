"""Paths, headers and bodies of the HTTP interfaces, for both sides."""

from __future__ import annotations

import typing

import msgspec

from .. import api

__all__ = [
    'ATTEMPT_HEADER',
    'CACHE_EVENTS_PATH',
    'CACHE_PATH',
    'DEADLINE_HEADER',
    'ENGINE_ATTEMPTS_PATH',
    'FENCE_PATH',
    'Failure',
    'FenceBody',
    'INSTANCES_PATH',
    'LAST_EVENT_HEADER',
    'LOAD_PATH',
    'LogEntryBody',
    'LogPageBody',
    'NOT_RUN_HEADER',
    'ORDERS_PATH',
    'OffsetBody',
    'PRIORITY_HEADER',
    'STATE_PATH',
    'STREAMS_PATH',
    'WEIGHTS_PATH',
    'log_page',
    'log_page_body',
]

ATTEMPT_HEADER: typing.Final = 'x-request-id'
DEADLINE_HEADER: typing.Final = 'x-deadline'
PRIORITY_HEADER: typing.Final = 'x-priority'
LAST_EVENT_HEADER: typing.Final = 'last-event-id'
NOT_RUN_HEADER: typing.Final = 'x-not-run'

STREAMS_PATH: typing.Final = '/streams'
INSTANCES_PATH: typing.Final = '/instances'
WEIGHTS_PATH: typing.Final = '/weights'
LOAD_PATH: typing.Final = '/load'
STATE_PATH: typing.Final = '/engine/state'
FENCE_PATH: typing.Final = '/engine/fence'
ORDERS_PATH: typing.Final = '/engine/orders'
ENGINE_ATTEMPTS_PATH: typing.Final = '/engine/attempts'
CACHE_EVENTS_PATH: typing.Final = '/engine/cache-events'
CACHE_PATH: typing.Final = '/engine/cache'


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an error response.

    ``first_offset`` is set with status 410, ``highest_fence`` with 409.
    """

    reason: str
    first_offset: int = 0
    highest_fence: int = 0


class OffsetBody(msgspec.Struct, frozen=True):
    """The response to an append."""

    offset: int


class LogEntryBody(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log; JSON encodes its payload in Base64."""

    offset: int
    time: float
    payload: bytes


class LogPageBody(msgspec.Struct, frozen=True):
    """The response to a read."""

    entries: tuple[LogEntryBody, ...]
    first_offset: int
    next_offset: int


class FenceBody(msgspec.Struct, frozen=True):
    """The request to raise an engine's fencing token."""

    fence: int


def log_page(body: LogPageBody) -> api.LogPage:
    """Convert a page from its wire form."""
    entries = tuple(
        api.LogEntry(entry.offset, entry.time, entry.payload)
        for entry in body.entries
    )
    return api.LogPage(entries, body.first_offset, body.next_offset)


def log_page_body(page: api.LogPage) -> LogPageBody:
    """Convert a page to its wire form."""
    entries = tuple(LogEntryBody(*entry) for entry in page.entries)
    return LogPageBody(entries, page.first_offset, page.next_offset)
