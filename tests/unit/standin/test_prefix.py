"""Tests that the entry and the engine compute equal prefix hashes."""

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
    """The hashes of a prompt, which cache affinity compares."""

    @settings(max_examples=60)
    @given(st.lists(_MESSAGE, min_size=1, max_size=4))
    def test_hashes_agree(self, messages: list[object]) -> None:
        """The hashes of the entry are the first ones of the engine."""
        body = msgspec.json.encode({'model': 'm', 'messages': messages})
        parsed = completions.parse(completion.CHAT_PATH, body)
        assert isinstance(parsed, completions.Completion), parsed
        request = completion.parse(body)
        prompt = completion.prompt_bytes(request)
        entry_hashes = prefix.prefix_hashes('m@1', parsed.prompt_prefix)
        engine_hashes = prefix.prefix_hashes('m@1', prompt)
        self.assertEqual(engine_hashes[: len(entry_hashes)], entry_hashes)
        self.assertEqual(min(len(engine_hashes), 4), min(len(entry_hashes), 4))
