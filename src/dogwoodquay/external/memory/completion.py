"""The part of the OpenAI-compatible API that the fake engine implements.

The text of an answer depends only on the artifact and the prompt, so that a
test can verify that an answer belongs to its request.
"""

from __future__ import annotations

import typing

import msgspec
import xxhash

__all__ = [
    'CHAT_PATH',
    'COMPLETION_PATH',
    'CompletionRequest',
    'answer_word',
    'complete_answer',
    'expected_text',
    'parse',
    'prompt_bytes',
    'prompt_tokens',
    'stream_event',
]

CHAT_PATH: typing.Final = '/v1/chat/completions'
COMPLETION_PATH: typing.Final = '/v1/completions'
DEFAULT_MAX_TOKENS: typing.Final = 16
BYTES_PER_TOKEN: typing.Final = 4
IMAGE_TOKENS: typing.Final = 256


class ImageUrl(msgspec.Struct, frozen=True):
    """The URL of an image, or the image itself as a data URL."""

    url: str


class Part(msgspec.Struct, frozen=True):
    """A part of a message: text or an image."""

    type: str
    text: str = ''
    image_url: ImageUrl | None = None


class Message(msgspec.Struct, frozen=True):
    """A message of a conversation."""

    role: str
    content: str | list[Part] | None = None


class CompletionRequest(msgspec.Struct, frozen=True):
    """The body of a chat or plain completion."""

    model: str
    messages: list[Message] = []
    prompt: str | list[typing.Any] = ''
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def token_limit(self) -> int:
        """The number of tokens to generate."""
        limit = self.max_completion_tokens or self.max_tokens
        return DEFAULT_MAX_TOKENS if limit is None else max(1, limit)


class _Text(msgspec.Struct, frozen=True):
    content: str
    role: str = 'assistant'


class _ChatDelta(msgspec.Struct, frozen=True):
    delta: _Text
    finish_reason: str | None = None
    index: int = 0


class _ChatChoice(msgspec.Struct, frozen=True):
    message: _Text
    finish_reason: str | None = None
    index: int = 0


class _TextChoice(msgspec.Struct, frozen=True):
    text: str
    finish_reason: str | None = None
    index: int = 0


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    id: str
    object: str
    model: str
    choices: list[_ChatDelta | _ChatChoice | _TextChoice]
    usage: _Usage | None = None


_ENCODER: typing.Final = msgspec.json.Encoder()
_DECODER: typing.Final = msgspec.json.Decoder(CompletionRequest)


def parse(body: bytes) -> CompletionRequest | None:
    """Decode a request; return ``None`` if it is invalid."""
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def prompt_bytes(request: CompletionRequest) -> bytes:
    """Return the prompt or the messages as bytes, with the URLs of images."""
    prompt = request.prompt
    parts = [prompt] if isinstance(prompt, str) else list(map(str, prompt))
    for message in request.messages:
        parts.append(f'\n{message.role}:')
        if isinstance(message.content, str):
            parts.append(message.content)
            continue
        for part in message.content or []:
            parts.append(part.text)
            if part.image_url is not None:
                parts.append(part.image_url.url)
    return ''.join(parts).encode()


def prompt_tokens(request: CompletionRequest, prompt: bytes) -> int:
    """Return the prompt's length; an image counts as ``IMAGE_TOKENS``."""
    images = [
        part.image_url.url
        for message in request.messages
        if isinstance(message.content, list)
        for part in message.content
        if part.image_url is not None
    ]
    text = len(prompt) - sum(len(url.encode()) for url in images)
    return text // BYTES_PER_TOKEN + 1 + IMAGE_TOKENS * len(images)


def answer_word(artifact: str, prompt: bytes, index: int) -> str:
    """Return the token of the answer at an index."""
    seed = xxhash.xxh64_intdigest(
        prompt, xxhash.xxh32_intdigest(artifact.encode())
    )
    return _word(seed, index)


def _word(seed: int, index: int) -> str:
    value = xxhash.xxh32_intdigest(index.to_bytes(8, 'little'), seed % 2**32)
    return f'{value:08x} '


def answer_words(artifact: str, prompt: bytes, count: int) -> list[str]:
    """Return the tokens of the answer."""
    seed = xxhash.xxh64_intdigest(
        prompt, xxhash.xxh32_intdigest(artifact.encode())
    )
    return [_word(seed, index) for index in range(count)]


def expected_text(artifact: str, body: bytes) -> str:
    """Return the text that an engine has to generate for a request."""
    request = parse(body)
    if request is None:
        raise ValueError('the body is not a completion request')
    prompt = prompt_bytes(request)
    return ''.join(answer_words(artifact, prompt, request.token_limit))


def stream_event(
    number: int, attempt_id: str, artifact: str, chat: bool, text: str
) -> bytes:
    """Return a server-sent event with one token."""
    if chat:
        choice: _ChatDelta | _TextChoice = _ChatDelta(_Text(text))
        kind = 'chat.completion.chunk'
    else:
        choice = _TextChoice(text)
        kind = 'text_completion'
    answer = _Answer(attempt_id, kind, artifact, [choice])
    return b'id: %d\ndata: %b\n\n' % (number, _ENCODER.encode(answer))


def complete_answer(
    attempt_id: str, artifact: str, chat: bool, words: list[str], tokens: int
) -> bytes:
    """Return the complete body of an answer that is not streamed."""
    text = ''.join(words)
    if chat:
        choice: _ChatChoice | _TextChoice = _ChatChoice(_Text(text), 'stop')
        kind = 'chat.completion'
    else:
        choice = _TextChoice(text, 'stop')
        kind = 'text_completion'
    usage = _Usage(tokens, len(words), tokens + len(words))
    return _ENCODER.encode(
        _Answer(attempt_id, kind, artifact, [choice], usage)
    )
