"""Command line arguments of the form ``address:port``."""

from __future__ import annotations

import argparse
import ipaddress
import typing

__all__ = ['Endpoint', 'parse']


class Endpoint(typing.NamedTuple):
    """An IP address and a port."""

    address: str
    port: int

    @property
    def url(self) -> str:
        """The base URL for plain HTTP."""
        host = self.address
        if ':' in host:
            host = f'[{host}]'
        return f'http://{host}:{self.port}'


def parse(text: str) -> Endpoint:
    """Parse ``address:port``.

    :raises argparse.ArgumentTypeError: if the text has another form.
    """
    address, _, port = text.rpartition(':')
    address = address.strip('[]')
    try:
        ipaddress.ip_address(address)
        number = int(port)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f'expected an IP address, a colon and a port, got {text!r}'
        ) from error
    if not 1 <= number <= 65535:
        raise argparse.ArgumentTypeError(
            f'expected a port from 1 to 65535, got {number}'
        )
    return Endpoint(address, number)
