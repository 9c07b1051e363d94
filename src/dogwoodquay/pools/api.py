"""The state of a pool that its owner publishes to all instances.

A view with a higher ``(epoch, version)`` replaces an earlier one.
"""

from __future__ import annotations

import msgspec

from ..external import api as external_api

__all__ = ['ArtifactView', 'PoolView', 'ServerView']


class ArtifactView(msgspec.Struct, frozen=True, array_like=True):
    """State of one version of a model or adapter on a server.

    ``withdrawing`` is set from the approval of an unload, so that no new
    requests are sent to the replica.
    """

    artifact: str
    ready: bool
    withdrawing: bool = False


class ServerView(msgspec.Struct, frozen=True, array_like=True):
    """State of one server of a pool."""

    server_id: str
    address: str
    port: int
    failure_domain: str
    leaving: bool
    artifacts: tuple[ArtifactView, ...]
    capacity_bytes: int = 0
    confirmed_bytes: int = 0
    possible_bytes: int = 0
    load: external_api.LoadReport | None = None


class PoolView(msgspec.Struct, frozen=True, array_like=True):
    """State of a pool's servers as its owner knows it."""

    pool: str
    owner: str
    epoch: int
    version: int
    servers: tuple[ServerView, ...]
