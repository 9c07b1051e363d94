"""Tests of the digests by which requests are known again."""

from __future__ import annotations

import unittest

from dogwoodquay.gateway import identity
from dogwoodquay.platform import headers

_HEADERS = (
    (b'host', b'a.example'),
    (b'attempt-id', b'1'),
    (b'deadline-ms', b'1500'),
    (b'model', b'm/a1'),
    (b'prompt-prefix', b'p1:800,p2:410'),
)


def _digest(
    more: tuple[tuple[bytes, bytes], ...] = (),
    method: str = 'POST',
    target: str = '/r/x',
    body: bytes = b'body',
) -> str:
    names = {name for name, _ in more}
    sent = tuple(item for item in _HEADERS if item[0] not in names) + more
    terms = headers.caller_terms(sent)
    return identity.digest(method, target, sent, body, terms)


class DigestTest(unittest.TestCase):
    """The digest is that of what a request says."""

    def test_next_attempt(self) -> None:
        """Attempts differ in ids, times, connections and progress."""
        again = _digest(
            (
                (b'attempt-id', b'2'),
                (b'deadline-ms', b'900'),
                (b'connection', b'close'),
                (b'last-event-id', b'3'),
                (b'user-agent', b'other'),
            )
        )
        self.assertEqual(_digest(), again)

    def test_other_requests(self) -> None:
        """Each of these makes another request."""
        others = {
            _digest(method='PUT'),
            _digest(target='/r/y'),
            _digest(body=b'bode'),
            _digest(body=b''),
            _digest(((b'host', b'b.example'),)),
            _digest(((b'authorization', b'Bearer x'),)),
            _digest(((b'cookie', b'x'),)),
            _digest(((b'api-key', b'x'),)),
            _digest(((b'model', b'm'),)),
            _digest(((b'prompt-prefix', b'p1:800,p3:410'),)),
        }
        self.assertEqual(10, len(others))
        self.assertNotIn(_digest(), others)

    def test_long_bodies(self) -> None:
        """The begin, the end and the length of a long body count."""
        size = 4 * identity.MAX_BODY_BYTES
        first, longer = b'x' * size, b'x' * (size + 1)
        last = b'x' * (size - 1) + b'y'
        digests = {_digest(body=item) for item in (first, longer, last)}
        self.assertEqual(3, len(digests))
