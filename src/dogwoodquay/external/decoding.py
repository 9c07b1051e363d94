"""Decodes JSON that other programs have written."""

from __future__ import annotations

import typing

import expression
import msgspec

__all__ = ['Count', 'MAX_COUNT', 'decode_json']

# JSON keeps whole numbers exactly up to here.
MAX_COUNT: typing.Final = 2**53
# A whole number that counts something.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

_Kind = typing.TypeVar('_Kind')

# Reasons may quote a part of the body.
MAX_REASON_CHARACTERS: typing.Final = 200


def decode_json(
    body: bytes, kind: type[_Kind]
) -> expression.Result[_Kind, str]:
    """Decode a body of any bytes to a type, or return why it is none.

    Also values that the decoder cannot hold, such as arrays nested in fields
    that nobody reads, are an error and no exception.
    """
    try:
        return expression.Ok(msgspec.json.decode(body, type=kind))
    except RecursionError:
        return expression.Error('nested too deeply')
    except (msgspec.MsgspecError, ArithmeticError, ValueError) as error:
        return expression.Error(str(error)[:MAX_REASON_CHARACTERS])
