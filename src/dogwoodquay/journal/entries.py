"""The codec of typed entries: CBOR records that hold a batch each."""

from __future__ import annotations

import io
import typing

import cbor2
import msgspec

from . import api

__all__ = ['SCHEMA', 'Codec', 'Entry', 'pack', 'unpack']

SCHEMA: typing.Final = 1


class Entry(msgspec.Struct, frozen=True, tag_field='type', kw_only=True):
    """The base of every entry; ``entry_id`` is unique for all time."""

    entry_id: str


class _Batch(msgspec.Struct, frozen=True):
    schema: int
    entries: tuple[msgspec.Raw | object, ...]


EntryT = typing.TypeVar('EntryT', bound=Entry)
StructT = typing.TypeVar('StructT', bound=msgspec.Struct)


def pack(value: msgspec.Struct) -> bytes:
    """Encode a struct as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def unpack(data: bytes, kind: type[StructT]) -> StructT:
    """Decode a struct from CBOR.

    :raises ValueError: when the bytes are no such struct.
    """
    try:
        plain = cbor2.load(io.BytesIO(data))
        return msgspec.convert(plain, kind, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(str(error)) from error


class Codec(typing.Generic[EntryT]):
    """Turns entries of a stream into records and back."""

    def __init__(self, kinds: object) -> None:
        """Make a codec.

        :param kinds: the union of the entry classes of a stream.
        """
        self._kinds = kinds

    def encode(self, entries: tuple[EntryT, ...]) -> bytes:
        """Return one record that holds the entries in order."""
        return pack(_Batch(SCHEMA, entries))

    def decode(self, payload: bytes) -> tuple[EntryT, ...]:
        """Return a record's entries; a malformed record holds none.

        :raises api.NewerSchema: when a newer release wrote the record.
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
                    tuple[self._kinds, ...],  # type: ignore[name-defined]
                    builtin_types=(bytes,),
                ),
            )
        except msgspec.ValidationError:
            return ()
