"""The state of a request's attempts: their ids and replicas."""

from __future__ import annotations

import typing

from ..routing import api as routing_api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api

__all__ = ['Attempts']


class Attempts:
    """Numbers the attempts of a request and records their replicas."""

    def __init__(self, call: api.Call) -> None:
        self._call = call
        self._count = 0
        self._resuming = False
        self._attempt_id = ''
        self._replica: routing_api.Replica | None = None
        self._servers: frozenset[str] = frozenset()
        self._failure_domains: frozenset[str] = frozenset()
        self._unfinished: dict[str, routing_api.Replica] = {}

    @property
    def count(self) -> int:
        """The number of attempts, resumes included."""
        return self._count

    @property
    def resuming(self) -> bool:
        """Whether the next attempt resumes the answer of the last one."""
        return self._resuming

    @property
    def attempt_id(self) -> str:
        """The id of the current attempt; a resume keeps it."""
        return self._attempt_id

    @property
    def replica(self) -> routing_api.Replica:
        """The replica of the current attempt."""
        if self._replica is None:
            raise RuntimeError('no replica has been chosen')
        return self._replica

    def next_route_request(self) -> routing_api.RouteRequest:
        """Return the routing request for a new attempt."""
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
            avoid_domains=self._failure_domains,
        )

    def on_replica_chosen(self, replica: routing_api.Replica) -> None:
        """Use a replica for the new attempt and avoid it in later ones."""
        self._replica = replica
        self._servers |= {replica.server_id}
        self._failure_domains |= {replica.failure_domain}

    def count_attempt(self) -> None:
        """Count the attempt that is about to be sent."""
        self._count += 1

    def set_resuming(self, resume: bool) -> None:
        """Set whether the next attempt resumes the last one."""
        self._resuming = resume

    def record_unfinished(self) -> None:
        """Record that the current attempt may still run upstream."""
        self._unfinished[self._attempt_id] = self.replica

    def unfinished(
        self, answered: bool
    ) -> abc.Mapping[str, routing_api.Replica]:
        """Return the attempts that may still run upstream.

        :param answered: whether the current attempt gave the answer.
        """
        if answered:
            self._unfinished.pop(self._attempt_id, None)
        return self._unfinished
