"""Tests that entry and engine hash the same prompt alike."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from dogwoodquay.entry import completions
from dogwoodquay.external.memory import completion
from dogwoodquay.external import prefix

_TEXT = st.text(max_size=700)
_PART = st.one_of(
    _TEXT.map(lambda text: {'type': 'text', 'text': text}),
    _TEXT.map(lambda text: {'type': 'image_url', 'image_url': {'url': text}}),
)
_MESSAGE = st.fixed_dictionaries(
    {
        'role': st.sampled_from(['user', 'system']),
        'content': st.one_of(_TEXT, st.lists(_PART, max_size=3)),
    }
)


class PrefixTest(unittest.TestCase):
    """Cache affinity needs equal hashes on both sides."""

    @settings(max_examples=60)
    @given(st.lists(_MESSAGE, min_size=1, max_size=4))
    def test_hashes_agree(self, messages: list[object]) -> None:
        """Every hash that entry looks for is one the engine stores."""
        body = msgspec.json.encode({'model': 'm', 'messages': messages})
        seen = completions.parse(completion.CHAT_PATH, body)
        assert isinstance(seen, completions.Completion), seen
        request = completion.parse(body)
        prompt = completion.prompt_bytes(request)
        wanted = prefix.prefix_hashes('m@1', seen.prompt_prefix)
        stored = prefix.prefix_hashes('m@1', prompt)
        self.assertEqual(stored[: len(wanted)], wanted)
        self.assertEqual(min(len(stored), 4), min(len(wanted), 4))
