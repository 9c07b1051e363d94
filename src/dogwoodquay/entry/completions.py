"""Parses the fields of a completion request that routing needs.

The engine gets the body as received; it is not encoded again.
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
CHARACTERS_PER_TOKEN: typing.Final = 4
TOKENS_PER_IMAGE: typing.Final = 256
# The longest prefix that the block hashes for cache affinity cover.
MAX_PREFIX_BYTES: typing.Final = 16 << 10

_NULL: typing.Final = msgspec.Raw(b'null')


class Completion(typing.NamedTuple):
    """The parsed fields of a completion request.

    ``prompt_tokens`` is an estimate.
    """

    model: str
    stream: bool
    prompt_prefix: bytes
    prompt_tokens: int


class _Message(msgspec.Struct):
    role: str
    content: msgspec.Raw = _NULL


class _Image(msgspec.Struct):
    url: str


class _Part(msgspec.Struct):
    type: str
    text: str = ''
    image_url: _Image | None = None


class _CompletionBody(msgspec.Struct):
    model: str
    messages: list[_Message] | None = None
    prompt: str | list[typing.Any] | None = None
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_BODY_DECODER: typing.Final = msgspec.json.Decoder(_CompletionBody)
_CONTENT_DECODER: typing.Final = msgspec.json.Decoder(str | list[_Part] | None)


class _Prompt:
    """Collects the prefix of a prompt and estimates its length."""

    def __init__(self) -> None:
        self._prefix_parts: list[bytes] = []
        self._prefix_bytes = 0
        self._text_characters = 0
        self._images = 0

    @property
    def prefix(self) -> bytes:
        """About the first ``MAX_PREFIX_BYTES`` of the prompt."""
        return b''.join(self._prefix_parts)

    @property
    def tokens(self) -> int:
        """The estimated length of the whole prompt."""
        text = self._text_characters // CHARACTERS_PER_TOKEN + 1
        return text + self._images * TOKENS_PER_IMAGE

    def add_text(self, text: str) -> None:
        """Append text to the prompt."""
        self._text_characters += len(text)
        self._append_prefix(text)

    def add_image(self, url: str) -> None:
        """Append an image, identified by its URL."""
        self._images += 1
        self._append_prefix(url)

    def _append_prefix(self, text: str) -> None:
        free_bytes = MAX_PREFIX_BYTES - self._prefix_bytes
        if free_bytes > 0:
            part = text[:free_bytes].encode()
            self._prefix_parts.append(part)
            self._prefix_bytes += len(part)


def parse(path: str, body: bytes) -> Completion | api.Refusal:
    """Parse and check the body of a completion request."""
    try:
        return _parse(path, body)
    except UnicodeDecodeError:
        return problems.make_refusal(reasons.Reason.BAD_UTF8)
    except RecursionError:
        return problems.make_refusal(reasons.Reason.JSON_TOO_DEEP)
    except msgspec.ValidationError as error:
        return problems.make_refusal(reasons.Reason.BAD_FIELD, str(error))
    except msgspec.DecodeError as error:
        return problems.make_refusal(reasons.Reason.BAD_JSON, str(error))


def _parse(path: str, body: bytes) -> Completion | api.Refusal:
    if not body.isascii():
        body.decode()
    fields = _BODY_DECODER.decode(body)
    prompt = _Prompt()
    if path == CHAT_PATH:
        if not fields.messages:
            return problems.make_refusal(
                reasons.Reason.BAD_FIELD, '`messages` is empty'
            )
        _add_messages(prompt, fields.messages)
    else:
        if not fields.prompt:
            return problems.make_refusal(
                reasons.Reason.BAD_FIELD, '`prompt` is empty'
            )
        _add_prompt(prompt, fields.prompt)
    return Completion(
        fields.model, bool(fields.stream), prompt.prefix, prompt.tokens
    )


def _add_messages(prompt: _Prompt, messages: list[_Message]) -> None:
    for message in messages:
        prompt.add_text(f'\n{message.role}:')
        content = _CONTENT_DECODER.decode(message.content)
        if isinstance(content, str):
            prompt.add_text(content)
            continue
        for part in content or ():
            prompt.add_text(part.text)
            if part.image_url is not None:
                prompt.add_image(part.image_url.url)


def _add_prompt(prompt: _Prompt, value: str | list[typing.Any]) -> None:
    if isinstance(value, str):
        prompt.add_text(value)
        return
    for part in value:
        prompt.add_text(str(part))
