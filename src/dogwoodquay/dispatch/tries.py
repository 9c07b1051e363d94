"""The attempts that one request has made so far."""

from __future__ import annotations

import typing

from ..routing import api as routing_api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api

__all__ = ['Tries']


class Tries:
    """Numbers the attempts and remembers where they went."""

    def __init__(self, call: api.Call) -> None:
        self._call = call
        self._count = 0
        self._resuming = False
        self._attempt_id = ''
        self._replica: routing_api.Replica | None = None
        self._servers: frozenset[str] = frozenset()
        self._domains: frozenset[str] = frozenset()
        self._left_over: dict[str, routing_api.Replica] = {}

    @property
    def count(self) -> int:
        """How many attempts were made, resumes included."""
        return self._count

    @property
    def resuming(self) -> bool:
        """Whether the next attempt goes on with the last one's answer."""
        return self._resuming

    @property
    def attempt_id(self) -> str:
        """The id of the present attempt; a resume keeps it."""
        return self._attempt_id

    @property
    def replica(self) -> routing_api.Replica:
        """Where the present attempt goes."""
        if self._replica is None:
            raise RuntimeError('no replica was chosen yet')
        return self._replica

    def next_request(self) -> routing_api.RouteRequest:
        """Return what routing needs for a new attempt."""
        call = self._call
        self._attempt_id = f'{call.request_id}-{self._count:02d}'
        return routing_api.RouteRequest(
            attempt_id=self._attempt_id,
            artifact=call.artifact,
            prompt_tokens=call.prompt_tokens,
            priority=call.priority,
            deadline=call.deadline,
            prefix_hashes=call.prefix_hashes,
            avoid_servers=self._servers,
            avoid_domains=self._domains,
        )

    def chosen(self, replica: routing_api.Replica) -> None:
        """Take a replica for the new attempt."""
        self._replica = replica
        self._servers |= {replica.server_id}
        self._domains |= {replica.failure_domain}

    def begin(self) -> None:
        """Count the attempt that is about to be sent."""
        self._count += 1

    def follow(self, resume: bool) -> None:
        """Note how the next attempt follows the last one."""
        self._resuming = resume

    def left(self) -> None:
        """Note that the present attempt may still run upstream."""
        self._left_over[self._attempt_id] = self.replica

    def left_over(
        self, answered: bool
    ) -> abc.Mapping[str, routing_api.Replica]:
        """Return the attempts that may still run for nobody.

        :param answered: whether the present attempt gave the answer.
        """
        if answered:
            self._left_over.pop(self._attempt_id, None)
        return self._left_over
