"""Settings of an instance of the gateway."""

from __future__ import annotations

import math
import typing

__all__ = ['Address', 'InstanceSettings']


class Address(typing.NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class InstanceSettings(typing.NamedTuple):
    """The identity, addresses, times and limits of an instance.

    ``retry_share`` limits the retries of all instances together within
    ``retry_window_seconds``, as a share of the requests. ``fences_checked``
    is whether engines refuse orders with an outdated fencing token, and
    ``member_seconds`` the lifetime of a membership in a group of the store.
    ``heartbeat_seconds`` is the interval at which servers write their entries
    into the list. In any ``quota_window_seconds``, a tenant may use its
    allotment increased by the share ``quota_over`` and by ``quota_slack``
    units. ``overload_control`` is whether requests that cannot be answered in
    time are refused at once for services under contended load. The process has
    ``memory_bytes``, and ``descriptors`` for its connections; infinite where
    there is no limit.
    """

    instance_id: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    store: Address
    list_interval_seconds: float
    configuration_age_seconds: float
    stop_seconds: float
    lease_seconds: float
    fences_checked: bool
    member_seconds: float
    retry_share: float
    retry_window_seconds: float
    ceiling_window_seconds: float
    heartbeat_seconds: float
    quota_window_seconds: float = 0.0
    quota_over: float = 0.0
    quota_slack: float = 0.0
    overload_control: bool = False
    memory_bytes: float = math.inf
    descriptors: float = math.inf
