"""Reads the settings file that the platform provides for each process."""

from __future__ import annotations

import math
import tomllib
import typing

import expression
import msgspec

from ..gateway import settings as gateway_settings

if typing.TYPE_CHECKING:
    import pathlib

__all__ = ['VARIABLE', 'load']

VARIABLE: typing.Final = 'DOGWOODQUAY_SETTINGS'
_MILLISECONDS: typing.Final = 1000.0
_MEGABYTE: typing.Final = 1_000_000
# The part of the descriptors that connections cannot use.
_FILE_DESCRIPTORS: typing.Final = 200
# Reads of the list within the drain time, in which a leaving server may still
# get requests: two have to fit, so that one of them may fail.
_LIST_READS_PER_DRAIN: typing.Final = 2.8
# The share of the time in which a version has to be active, for which a word
# on the newest version is relied on. The rest is for getting a version.
_CONFIGURATION_AGE_SHARE: typing.Final = 0.5
# The lifetime of a membership, relative to the minimum that the store allows.
_MEMBER_TTL_FACTOR: typing.Final = 1.2


class _Body(msgspec.Struct, rename='pascal'):
    """The base of all tables; unknown fields are ignored."""


class _Listen(_Body):
    front: str
    readiness: str


class _Bounds(_Body):
    drain_ms: float = 2000.0
    # The time after its acknowledgement in which a version has to be active.
    config_apply_ms: float = 2000.0
    # The time between the signal to stop and the kill.
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    lease_ms: float = 3000.0
    # Whether servers refuse orders with an outdated fencing token.
    fence_checked: bool = False
    ceiling_window_s: float = 5.0
    quota_window_s: float = 0.0
    quota_over: float = 0.0
    quota_slack: float = 0.0


class _Limits(_Body):
    # Zero for no limit.
    memory_mb: float = 0.0
    max_fds: int = 0


class _Platform(_Body):
    address: str
    ttl_min_ms: float = 1000.0


class _Settings(_Body):
    node_name: str
    ip: str
    zone: str
    # The first port is the one of the protocol between instances.
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Platform
    heartbeat_ms: float = 1200.0
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load(
    path: pathlib.Path,
) -> expression.Result[gateway_settings.InstanceSettings, str]:
    """Read and check a settings file; the error names the invalid value."""
    try:
        table = tomllib.loads(path.read_text('utf-8'))
        raw = msgspec.convert(table, _Settings)
        return expression.Ok(_instance_settings(raw))
    except OSError as error:
        return expression.Error(f'cannot read the settings: {error}')
    except (ValueError, msgspec.ValidationError) as error:
        return expression.Error(f'invalid settings: {error}')


def _instance_settings(raw: _Settings) -> gateway_settings.InstanceSettings:
    bounds = raw.bounds
    drain_seconds = bounds.drain_ms / _MILLISECONDS
    apply_seconds = bounds.config_apply_ms / _MILLISECONDS
    min_ttl = raw.platform.ttl_min_ms / _MILLISECONDS
    return gateway_settings.InstanceSettings(
        instance_id=raw.node_name,
        failure_domain=raw.zone,
        callers=_address(raw.listen.front),
        readiness=_address(raw.listen.readiness),
        peers=gateway_settings.Address(raw.ip, raw.port_range[0]),
        store=_address(raw.platform.address),
        list_interval_seconds=drain_seconds / _LIST_READS_PER_DRAIN,
        configuration_age_seconds=apply_seconds * _CONFIGURATION_AGE_SHARE,
        stop_seconds=bounds.grace_s,
        lease_seconds=bounds.lease_ms / _MILLISECONDS,
        fences_checked=bounds.fence_checked,
        member_seconds=min_ttl * _MEMBER_TTL_FACTOR,
        retry_share=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.retry_window_s,
        ceiling_window_seconds=bounds.ceiling_window_s,
        heartbeat_seconds=_heartbeat_seconds(raw.heartbeat_ms),
        quota_window_seconds=bounds.quota_window_s,
        quota_over=bounds.quota_over,
        quota_slack=bounds.quota_slack,
        memory_bytes=_limit(raw.limits.memory_mb) * _MEGABYTE,
        descriptors=_limit(raw.limits.max_fds - _FILE_DESCRIPTORS),
    )


def _limit(value: float) -> float:
    """Return a limit, infinite where none is given."""
    return value if value > 0 else math.inf


def _heartbeat_seconds(milliseconds: float) -> float:
    if not milliseconds > 0:
        raise ValueError(f'an interval of {milliseconds} ms')
    return milliseconds / _MILLISECONDS


def _address(text: str) -> gateway_settings.Address:
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'{text!r} is not an address with a port')
    return gateway_settings.Address(host, int(port))
