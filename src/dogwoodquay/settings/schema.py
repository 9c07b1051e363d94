"""The typed schema of an instance's settings.

Sizes are in bytes, times in seconds, rates per second. Addresses are IP
addresses.
"""

from __future__ import annotations

import ipaddress
import typing

import msgspec

__all__ = [
    'Agreement',
    'Callers',
    'Endpoint',
    'Identity',
    'Listener',
    'Logging',
    'Operators',
    'Peers',
    'PlatformAddresses',
    'Settings',
    'Tls',
]

MIN_SECRET_CHARACTERS: typing.Final = 16

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
RemotePort = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')
]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of the sections; unknown keys are errors."""


class Tls(_Section, frozen=True):
    """PEM files of a listener's certificate chain and private key."""

    certificate_file: str
    key_file: str


class Endpoint(_Section, frozen=True):
    """The address of an external system."""

    address: str
    port: RemotePort

    def __post_init__(self) -> None:
        _check_address(self.address)


class Listener(_Section, frozen=True):
    """The listening address of this instance; port 0 is any free port."""

    address: str
    port: Port = 0

    def __post_init__(self) -> None:
        _check_address(self.address)


class Identity(_Section, frozen=True):
    """The id of this instance, its failure domain and its region."""

    instance_id: Name
    failure_domain: Name
    region: Name


class Callers(_Section, frozen=True):
    """The listener for callers and its limits.

    ``max_memory_bytes`` limits the memory of the whole process: what it does
    not use itself limits what callers make it hold.
    """

    listen: Listener
    tls: Tls | None = None
    max_body_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1024, le=1 << 28)
    ] = 20 << 20
    max_header_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1024, le=1 << 20)
    ] = 32 << 10
    max_memory_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1 << 26, le=1 << 40)
    ] = 768 << 20
    body_timeout_seconds: Seconds = 20.0
    resume_seconds: Seconds = 60.0
    stream_buffer_bytes: typing.Annotated[
        int, msgspec.Meta(ge=4096, le=1 << 26)
    ] = 256 << 10
    max_open_streams: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = (
        5000
    )


class Peers(_Section, frozen=True):
    """The listener for other instances and the shared secrets.

    The first secret is preferred and all are accepted, so that secrets can
    be rotated while the instances run.
    """

    listen: Listener
    secrets: typing.Annotated[
        tuple[str, ...], msgspec.Meta(min_length=1, max_length=4)
    ]

    def __post_init__(self) -> None:
        for secret in self.secrets:
            if len(secret) < MIN_SECRET_CHARACTERS:
                raise ValueError(
                    'Expected secrets of at least '
                    f'{MIN_SECRET_CHARACTERS} characters'
                )


class Operators(_Section, frozen=True):
    """The listener for operators: status, health and metrics."""

    listen: Listener
    token: typing.Annotated[
        str, msgspec.Meta(min_length=MIN_SECRET_CHARACTERS)
    ]


class PlatformAddresses(_Section, frozen=True):
    """The platform's log, instance list and weight store."""

    log: Endpoint
    instance_list: Endpoint
    weight_store: Endpoint


class Agreement(_Section, frozen=True):
    """Parameters of the coordination between instances."""

    claim_shards: typing.Annotated[int, msgspec.Meta(ge=1, le=256)] = 1
    checkpoint_entries: typing.Annotated[
        int, msgspec.Meta(ge=16, le=1_000_000)
    ] = 2000
    control_bytes_per_second: typing.Annotated[
        int, msgspec.Meta(ge=512, le=1 << 20)
    ] = 5000
    unready_seconds: typing.Annotated[float, msgspec.Meta(ge=0, le=600)] = 3.0
    stop_seconds: Seconds = 120.0


class Logging(_Section, frozen=True):
    """The file for structured logs; ``-`` is standard error."""

    file: str = '-'


class Settings(_Section, frozen=True):
    """All settings of one instance."""

    instance: Identity
    callers: Callers
    peers: Peers
    operators: Operators
    platform: PlatformAddresses
    agreement: Agreement = Agreement()
    logging: Logging = Logging()


def _check_address(address: str) -> None:
    try:
        ipaddress.ip_address(address)
    except ValueError as error:
        raise ValueError('Expected an IP address') from error
