"""The codec of typed entries: a CBOR record contains a batch of them."""

from __future__ import annotations

import io
import typing

import cbor2
import msgspec

from . import api

__all__ = ['SCHEMA', 'Codec', 'Entry', 'pack', 'unpack']

SCHEMA: typing.Final = 1


class Entry(msgspec.Struct, frozen=True, tag_field='type', kw_only=True):
    """Base class of all entries; an ``entry_id`` is never reused."""

    entry_id: str


class _Batch(msgspec.Struct, frozen=True):
    schema: int
    entries: tuple[msgspec.Raw | object, ...]


EntryT = typing.TypeVar('EntryT', bound=Entry)
StructT = typing.TypeVar('StructT', bound=msgspec.Struct)


def pack(value: msgspec.Struct) -> bytes:
    """Encode a struct as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def unpack(data: bytes, struct_type: type[StructT]) -> StructT:
    """Decode a struct from CBOR.

    :raises ValueError: if the bytes do not encode such a struct.
    """
    try:
        plain = cbor2.load(io.BytesIO(data))
        return msgspec.convert(plain, struct_type, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(str(error)) from error


class Codec(typing.Generic[EntryT]):
    """Encodes entries of a stream as records and decodes them."""

    def __init__(self, entry_types: object) -> None:
        """Make a codec.

        :param entry_types: the union of the entry classes of a stream.
        """
        self._types = entry_types

    def encode(self, entries: tuple[EntryT, ...]) -> bytes:
        """Return a record that contains the entries in order."""
        return pack(_Batch(SCHEMA, entries))

    def decode(self, payload: bytes) -> tuple[EntryT, ...]:
        """Return a record's entries; a malformed record contains none.

        :raises api.NewerSchema: if a newer release wrote the record.
        """
        try:
            batch = unpack(payload, _Batch)
        except ValueError:
            return ()
        if batch.schema > SCHEMA:
            raise api.NewerSchema(f'schema {batch.schema}')
        try:
            return typing.cast(
                'tuple[EntryT, ...]',
                msgspec.convert(
                    batch.entries,
                    tuple[self._types, ...],  # type: ignore[name-defined]
                    builtin_types=(bytes,),
                ),
            )
        except msgspec.ValidationError:
            return ()
