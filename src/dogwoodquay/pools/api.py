"""The view of a pool that its owner publishes to every instance.

A view with a higher ``(epoch, version)`` replaces an earlier one.
"""

from __future__ import annotations

import msgspec

from ..external import api as external_api

__all__ = ['ArtifactView', 'PoolView', 'ServerView']


class ArtifactView(msgspec.Struct, frozen=True, array_like=True):
    """One version of a model or adapter on a server."""

    artifact: str
    ready: bool
    withdrawing: bool = False


class ServerView(msgspec.Struct, frozen=True, array_like=True):
    """One server of a pool; sizes in bytes."""

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
    """What the owner of a pool knows of its servers."""

    pool: str
    owner: str
    epoch: int
    version: int
    servers: tuple[ServerView, ...]
