"""Tests of breaking this process's connections."""

from __future__ import annotations

import os
import socket
import unittest

from dogwoodquay.demo import sockets


def _descriptors():
    return len(os.listdir('/proc/self/fd'))


class BreakConnectionsTest(unittest.TestCase):
    """Connections on a port are broken, nothing else is touched."""

    def test_breaks_connections_of_the_port(self):
        """The other side reads the end."""
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
        """Pipes and files in the process do not gather copies."""
        ends = os.pipe()
        try:
            before = _descriptors()
            sockets.break_connections([1])
            self.assertEqual(before, _descriptors())
        finally:
            for end in ends:
                os.close(end)
