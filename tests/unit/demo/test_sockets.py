"""Tests of ``break_connections``."""

from __future__ import annotations

import os
import socket
import unittest

from dogwoodquay.demo import sockets


def _descriptors():
    return len(os.listdir('/proc/self/fd'))


class BreakConnectionsTest(unittest.TestCase):
    """Only connections on the given ports are broken."""

    def test_breaks_connections_of_the_port(self):
        """The peer of a broken connection reads its end."""
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            address = listener.getsockname()
            with socket.create_connection(address) as client:
                accepted, _ = listener.accept()
                with accepted:
                    sockets.break_connections([address[1]])
                    self.assertEqual(b'', client.recv(1))

    def test_leaves_no_descriptor_behind(self):
        """Duplicated descriptors are closed, also of pipes and files."""
        ends = os.pipe()
        try:
            before = _descriptors()
            sockets.break_connections([1])
            self.assertEqual(before, _descriptors())
        finally:
            for end in ends:
                os.close(end)
