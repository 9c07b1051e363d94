"""Random requests of both users, with the expected replies."""

from __future__ import annotations

import base64
import dataclasses
import secrets
import time
import typing
import uuid

import msgspec
import xxhash

from ..external.memory import completion
from ..records import api as records_api
from ..standin import examples

if typing.TYPE_CHECKING:
    import random

__all__ = [
    'Completion',
    'Operation',
    'Request',
    'condition_write_up',
    'operation',
    'repair_ticket',
    'uuid7',
]

VERSION: typing.Final = '1'
PHOTO_BYTES: typing.Final = 3000
NOTES: typing.Final = (
    'Left heel worn through, customer waits at the counter.',
    'Welted boots, sole loose at the toe, pick up on Friday.',
    'Zipper torn, replace with brass, quote first.',
)
LOTS: typing.Final = (
    'Flood line at the door sills, engine not started.',
    'Front collision, airbags out, frame straight.',
    'Hail on roof and bonnet, glass whole.',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A request to a model and the expected text."""

    key: str
    body: bytes
    expected: str
    stream: bool

    @property
    def path(self) -> str:
        """The request path."""
        return completion.CHAT_PATH


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """A request to a plain service that must run exactly once."""

    key: str
    path: str
    body: bytes
    idempotency_key: str
    service_path: str

    @property
    def digest(self) -> str:
        """The body digest that the stand-in service returns."""
        return xxhash.xxh3_64_hexdigest(self.body)


Request = Completion | Operation


def uuid7(now: float | None = None) -> str:
    """Return a new UUID of version 7."""
    milliseconds = int((time.time() if now is None else now) * 1000)
    value = milliseconds << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def repair_ticket(
    rng: random.Random, stream: bool, tokens: int = 24
) -> Completion:
    """Return a request for a repair ticket from a note and a photo."""
    place = rng.choice(examples.HEELBRIGHT.adapter_names[:8])
    model = rng.choice(('repair-ticket', f'repair-ticket-{place}'))
    note = rng.choice(NOTES)
    return _completion(examples.HEELBRIGHT, model, note, rng, stream, tokens)


def condition_write_up(
    rng: random.Random, stream: bool, tokens: int = 24
) -> Completion:
    """Return a request for a condition write-up from a note and a photo."""
    place = rng.choice(examples.GULF.adapter_names[:7])
    model = rng.choice(('lot-write-up', f'lot-write-up-{place}'))
    note = rng.choice(LOTS)
    return _completion(examples.GULF, model, note, rng, stream, tokens)


def operation(
    deployment: examples.Deployment, rng: random.Random
) -> Operation:
    """Return a charge request, which is not idempotent."""
    body = msgspec.json.encode(
        {'ticket': rng.randrange(10**9), 'amount': rng.randrange(10**4)}
    )
    return Operation(
        examples.caller_key(deployment),
        f'/services/{deployment.service}{deployment.charge_path}',
        body,
        uuid7(),
        deployment.charge_path,
    )


def _completion(
    deployment: examples.Deployment,
    model: str,
    note: str,
    rng: random.Random,
    stream: bool,
    tokens: int,
) -> Completion:
    photo = base64.b64encode(rng.randbytes(PHOTO_BYTES)).decode()
    url = f'data:image/jpeg;base64,{photo}'
    parts = [
        {'type': 'text', 'text': f'{note} ({rng.randrange(10**9)})'},
        {'type': 'image_url', 'image_url': {'url': url}},
    ]
    body = msgspec.json.encode(
        {
            'model': model,
            'stream': stream,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': parts}],
        }
    )
    artifact = records_api.artifact_id(model, VERSION)
    return Completion(
        examples.caller_key(deployment),
        body,
        completion.expected_text(artifact, body),
        stream,
    )
