"""Reads the fields of a completion request that the instance needs.

The body goes to the engine as it came; nothing is encoded again.
"""

from __future__ import annotations

import typing

import msgspec

from ..dispatch import api
from ..dispatch import reasons
from . import problems

__all__ = ['CHAT_PATH', 'COMPLETION_PATH', 'Completion', 'parse']

CHAT_PATH: typing.Final = '/v1/chat/completions'
COMPLETION_PATH: typing.Final = '/v1/completions'
BYTES_PER_TOKEN: typing.Final = 4
IMAGE_TOKENS: typing.Final = 256
# What the hashes of a prompt's leading blocks can cover.
PREFIX_BYTES: typing.Final = 16 << 10

_EMPTY: typing.Final = msgspec.Raw(b'null')


class Completion(typing.NamedTuple):
    """What the instance needs to know of a completion request."""

    model: str
    stream: bool
    prompt_prefix: bytes
    prompt_tokens: int


class _Message(msgspec.Struct):
    role: str
    content: msgspec.Raw = _EMPTY


class _Image(msgspec.Struct):
    url: str


class _Part(msgspec.Struct):
    type: str
    text: str = ''
    image_url: _Image | None = None


class _Fields(msgspec.Struct):
    model: str
    messages: list[_Message] | None = None
    prompt: str | list[typing.Any] | None = None
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_FIELDS: typing.Final = msgspec.json.Decoder(_Fields)
_CONTENT: typing.Final = msgspec.json.Decoder(str | list[_Part] | None)


class _Prompt:
    """Collects the start of a prompt and the length of all of it."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._kept = 0
        self._text_bytes = 0
        self._images = 0

    @property
    def prefix(self) -> bytes:
        """The start of the prompt."""
        return b''.join(self._parts)

    @property
    def tokens(self) -> int:
        """An estimate of the whole prompt's length."""
        text = self._text_bytes // BYTES_PER_TOKEN + 1
        return text + self._images * IMAGE_TOKENS

    def add_text(self, text: str) -> None:
        """Add text."""
        self._text_bytes += len(text)
        self._keep(text)

    def add_image(self, url: str) -> None:
        """Add an image by its address."""
        self._images += 1
        self._keep(url)

    def _keep(self, text: str) -> None:
        room = PREFIX_BYTES - self._kept
        if room > 0:
            part = text[:room].encode()
            self._parts.append(part)
            self._kept += len(part)


def parse(path: str, body: bytes) -> Completion | api.Refusal:
    """Check a completion request's body."""
    try:
        return _parse(path, body)
    except UnicodeDecodeError:
        return problems.refusal(reasons.Reason.BAD_UTF8)
    except RecursionError:
        return problems.refusal(reasons.Reason.JSON_TOO_DEEP)
    except msgspec.ValidationError as error:
        return problems.refusal(reasons.Reason.BAD_FIELD, str(error))
    except msgspec.DecodeError as error:
        return problems.refusal(reasons.Reason.BAD_JSON, str(error))


def _parse(path: str, body: bytes) -> Completion | api.Refusal:
    if not body.isascii():
        body.decode()
    fields = _FIELDS.decode(body)
    prompt = _Prompt()
    if path == CHAT_PATH:
        if not fields.messages:
            return problems.refusal(
                reasons.Reason.BAD_FIELD, '`messages` is empty'
            )
        _add_messages(prompt, fields.messages)
    else:
        if not fields.prompt:
            return problems.refusal(
                reasons.Reason.BAD_FIELD, '`prompt` is empty'
            )
        _add_prompt(prompt, fields.prompt)
    return Completion(
        fields.model, bool(fields.stream), prompt.prefix, prompt.tokens
    )


def _add_messages(prompt: _Prompt, messages: list[_Message]) -> None:
    for message in messages:
        prompt.add_text(f'\n{message.role}:')
        content = _CONTENT.decode(message.content)
        if isinstance(content, str):
            prompt.add_text(content)
            continue
        for part in content or ():
            prompt.add_text(part.text)
            if part.image_url is not None:
                prompt.add_image(part.image_url.url)


def _add_prompt(prompt: _Prompt, given: str | list[typing.Any]) -> None:
    if isinstance(given, str):
        prompt.add_text(given)
        return
    for part in given:
        prompt.add_text(str(part))
