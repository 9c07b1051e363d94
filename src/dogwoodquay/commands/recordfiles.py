"""Reads record files: a record or a list of records in JSON5."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import expression
import json5
import msgspec

__all__ = ['FileError', 'FileRecord', 'read']


class FileRecord(typing.NamedTuple):
    """A record with its file and its index in the file, from zero."""

    file: pathlib.Path
    position: int
    payload: bytes

    @property
    def place(self) -> str:
        """The file and index, for messages."""
        return f'{self.file}[{self.position}]'


@dataclasses.dataclass(frozen=True, slots=True)
class FileError:
    """The reason why a file could not be read."""

    explanation: str


def read(
    files: list[pathlib.Path],
) -> expression.Result[tuple[FileRecord, ...], FileError]:
    """Return the records of all files in order, or the first error."""
    records: list[FileRecord] = []
    for file in files:
        result = _read_one(file)
        if result.is_error():
            return expression.Error(result.error)
        records.extend(result.ok)
    return expression.Ok(tuple(records))


def _read_one(
    file: pathlib.Path,
) -> expression.Result[tuple[FileRecord, ...], FileError]:
    try:
        raw = json5.loads(file.read_text(encoding='utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        return expression.Error(FileError(f'cannot read {file}: {error}'))
    items = raw if isinstance(raw, list) else [raw]
    return expression.Ok(
        tuple(
            FileRecord(file, position, msgspec.json.encode(item))
            for position, item in enumerate(items)
        )
    )
