"""Tests of the authentication of peers."""

from __future__ import annotations

import typing
import unittest

import expression
from websockets.asyncio import client

from dogwoodquay.wire import api
from dogwoodquay.wire import auth
from dogwoodquay.wire import codec

from . import loopback

if typing.TYPE_CHECKING:
    from dogwoodquay.wire import peers


async def _echo(
    sender: api.Sender, message: loopback.Echo, deadline: float
) -> loopback.Echo:
    return message


class AuthenticationTest(unittest.IsolatedAsyncioTestCase):
    """Authentication with equal, different and missing secrets."""

    async def _request_echo(
        self, near: peers.Peers, far: peers.Peers
    ) -> expression.Result[loopback.Echo, api.WireError]:
        for subject in (near, far):
            subject.register(loopback.Echo, _echo)
        async with loopback.running(near, far):
            return await near.request(
                far.address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.new_deadline(),
            )

    async def test_other_secret_is_refused(self) -> None:
        """A peer with another secret is refused and counted."""
        near = loopback.make_peer('near', secrets=(b'some other secret',))
        far = loopback.make_peer('far')
        answer = await self._request_echo(near, far)
        self.assertIsInstance(answer.error, api.Unreachable)
        self.assertEqual(1, far.traffic.refused['no_shared_secret'])
        self.assertEqual(0, far.traffic.frames_received)

    async def test_secret_rotation(self) -> None:
        """Peers with one secret in common can connect."""
        new = b'the secret to come'
        near = loopback.make_peer('near', secrets=(new, loopback.SECRET))
        far = loopback.make_peer('far', secrets=(loopback.SECRET,))
        answer = await self._request_echo(near, far)
        self.assertTrue(answer.is_ok())

    async def test_known_fingerprint_without_the_secret(self) -> None:
        """A copied hello without the secret fails at the proof."""
        far = loopback.make_peer('far')
        far.register(loopback.Echo, _echo)
        identity = auth.Identity('thief', '127.0.0.1', 1)
        hello = auth.Secrets([loopback.SECRET]).hello(identity, bytes(16))
        async with far.running():
            uri = f'ws://127.0.0.1:{far.address.port}/'
            async with client.connect(uri, proxy=None) as socket:
                await socket.send(codec.encode(hello))
                await socket.recv()
                await socket.send(codec.encode(auth.Proof(bytes(32))))
                await socket.wait_closed()
        self.assertEqual(1, far.traffic.refused['bad_proof'])

    async def test_malformed_large_and_missing_hello(self) -> None:
        """Such connections are closed, after the timeout at the latest."""
        far = loopback.make_peer('far', handshake_seconds=0.1)
        async with far.running():
            uri = f'ws://127.0.0.1:{far.address.port}/'
            for data in (b'\xff', bytes(100_000), None):
                async with client.connect(uri, proxy=None) as socket:
                    if data is not None:
                        await socket.send(data)
                    await socket.wait_closed()
        self.assertEqual(2, far.traffic.refused['malformed'])
        self.assertEqual(1, far.traffic.refused['timeout'])
        self.assertEqual(0, far.traffic.frames_received)

    def test_proof_is_bound_to_the_transcript(self) -> None:
        """A proof is invalid for another role, identity or nonce."""
        secrets = auth.Secrets([loopback.SECRET])
        near = auth.Identity('near', '127.0.0.1', 1)
        far = auth.Identity('far', '127.0.0.1', 2)
        hello = secrets.hello(near, bytes(16))
        challenge = secrets.challenge(hello, far, bytes(16))
        proof = secrets.prove(hello, challenge)
        secrets.verify(hello, challenge, proof)
        reflected = auth.Proof(challenge.proof)
        other_nonce = secrets.hello(near, bytes(15) + b'\x01')
        other_name = secrets.hello(far, bytes(16))
        for sent_hello, sent_proof in (
            (hello, reflected),
            (other_nonce, proof),
            (other_name, proof),
        ):
            with self.assertRaises(auth.AuthError):
                secrets.verify(sent_hello, challenge, sent_proof)
