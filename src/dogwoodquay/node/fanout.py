"""Sends one request to several members, a few at a time."""

from __future__ import annotations

import typing

import anyio

from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..membership import api as membership_api

__all__ = ['request_all']

PARALLEL_REQUESTS: typing.Final = 16


async def request_all(
    transport: wire_api.Transport,
    members: abc.Iterable[membership_api.Member],
    message: wire_api.Message,
    answer_type: type[wire_api.Answer],
    deadline: float,
) -> dict[str, wire_api.Answer]:
    """Return the answers that arrive by the deadline, by instance id."""
    answers: dict[str, wire_api.Answer] = {}
    limiter = anyio.CapacityLimiter(PARALLEL_REQUESTS)

    async def send_request(member: membership_api.Member) -> None:
        peer = wire_api.PeerAddress(member.address, member.port)
        async with limiter:
            result = await transport.request(
                peer, message, answer_type, deadline
            )
        if result.is_ok():
            answers[member.instance_id] = result.ok

    async with anyio.create_task_group() as group:
        for member in members:
            group.start_soon(send_request, member)
    return answers
