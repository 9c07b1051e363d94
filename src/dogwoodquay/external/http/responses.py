"""Decodes the bodies of responses."""

from __future__ import annotations

import typing

import expression

from .. import api
from .. import decoding
from . import wire

if typing.TYPE_CHECKING:
    import httpx

__all__ = ['decode', 'failure']

_Body = typing.TypeVar('_Body')


def decode(
    response: httpx.Response, kind: type[_Body]
) -> expression.Result[_Body, api.Ambiguous]:
    """Decode a JSON body; an invalid one is ``Ambiguous``."""
    decoded = decoding.decode_json(response.content, kind)
    if decoded.is_error():
        return expression.Error(api.Ambiguous('bad_answer'))
    return expression.Ok(decoded.ok)


def failure(response: httpx.Response) -> wire.Failure:
    """Return the failure described by an error response.

    A body in another format gives a reason made from the status code.
    """
    decoded = decode(response, wire.Failure)
    if decoded.is_ok():
        return decoded.ok
    return wire.Failure(f'status_{response.status_code}')
