"""Field types with their limits, shared by all kinds of records."""

from __future__ import annotations

import typing

import msgspec

__all__ = [
    'Address',
    'Count',
    'FirstTokenSeconds',
    'KeyDigest',
    'LoadsPerSecond',
    'MemoryBytes',
    'MemoryGib',
    'Method',
    'Name',
    'Offset',
    'Path',
    'Port',
    'Priority',
    'Rate',
    'RecordId',
    'Seconds',
    'Share',
    'Target',
    'Time',
    'Version',
    'Weight',
]

# Python's "$" also matches before a final line feed; the lookahead does not.
_END: typing.Final = r'$(?!\n)'
_NAME: typing.Final = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,99}' + _END
_TARGET: typing.Final = r'^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,99})' + _END
_VERSION: typing.Final = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,49}' + _END
_ADDRESS: typing.Final = r'^[0-9A-Fa-f.:]{2,45}' + _END
_DIGEST: typing.Final = r'^[0-9a-f]{64}' + _END
_METHOD: typing.Final = r'^[A-Z]{3,10}' + _END
_PATH: typing.Final = r'^/[!-~]{0,200}' + _END
_RECORD_ID: typing.Final = r'^[A-Za-z0-9._:-]{0,64}' + _END

MAX_MEMORY_BYTES: typing.Final = 2**50
MAX_MEMORY_GIB: typing.Final = 2**20
MAX_OFFSET: typing.Final = 2**53
MAX_TIME: typing.Final = 1e11

Name = typing.Annotated[str, msgspec.Meta(pattern=_NAME)]
Target = typing.Annotated[str, msgspec.Meta(pattern=_TARGET)]
Version = typing.Annotated[str, msgspec.Meta(pattern=_VERSION)]
Address = typing.Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
KeyDigest = typing.Annotated[str, msgspec.Meta(pattern=_DIGEST)]
Method = typing.Annotated[str, msgspec.Meta(pattern=_METHOD)]
Path = typing.Annotated[str, msgspec.Meta(pattern=_PATH)]
RecordId = typing.Annotated[str, msgspec.Meta(pattern=_RECORD_ID)]
MemoryBytes = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_BYTES)]
MemoryGib = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_GIB)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
Offset = typing.Annotated[int, msgspec.Meta(ge=-1, le=MAX_OFFSET)]
Rate = typing.Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
LoadsPerSecond = typing.Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
FirstTokenSeconds = typing.Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e8)]
Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Time = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
