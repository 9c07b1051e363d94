"""Mutual authentication of peers with shared secrets.

Before any message is read, each side proves that it has a secret, by an HMAC
over both nonces, both identities and its own role. An instance can have
several secrets, so that they can be rotated; the dialling side lists the
fingerprints of its secrets.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import typing

import msgspec

from . import api

__all__ = [
    'NONCE_BYTES',
    'PROTOCOL_VERSION',
    'AuthError',
    'Challenge',
    'Hello',
    'Identity',
    'Proof',
    'Refusal',
    'Role',
    'Secrets',
    'Welcome',
]

PROTOCOL_VERSION: typing.Final = 1
NONCE_BYTES: typing.Final = 16
SECRET_MIN_BYTES: typing.Final = 16
_FINGERPRINT_BYTES: typing.Final = 8


class Refusal(enum.StrEnum):
    """Reasons for the refusal of a connection, also metric labels."""

    MALFORMED = 'malformed'
    VERSION = 'version'
    NO_SHARED_SECRET = 'no_shared_secret'
    BAD_PROOF = 'bad_proof'
    TIMEOUT = 'timeout'
    TOO_MANY = 'too_many_connections'


class AuthError(Exception):
    """A peer could not be authenticated."""

    def __init__(self, reason: Refusal) -> None:
        super().__init__(reason.value)
        self._reason = reason

    @property
    def reason(self) -> Refusal:
        """The reason for the refusal."""
        return self._reason


class Role(enum.StrEnum):
    """A side of a connection.

    It is part of the proof, so that a proof cannot be reflected.
    """

    DIALLER = 'dialler'
    LISTENER = 'listener'


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """The instance and the listening address that a peer claims."""

    instance_id: str
    address: str
    port: int

    @property
    def sender(self) -> api.Sender:
        """The identity as it is passed to handlers."""
        address = api.PeerAddress(self.address, self.port)
        return api.Sender(self.instance_id, address)


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hello'):
    """The dialling side's first message."""

    version: int
    identity: Identity
    nonce: bytes
    fingerprints: tuple[bytes, ...]


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag='challenge'):
    """The listening side's answer, with its own proof."""

    version: int
    identity: Identity
    nonce: bytes
    fingerprint: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True, tag='proof'):
    """The dialling side's proof."""

    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag='welcome'):
    """The listening side's last handshake message; frames may follow."""


class _Transcript(msgspec.Struct, frozen=True):
    hello: Hello
    listener: Identity
    nonce: bytes


class Secrets:
    """The shared secrets of an instance, in order of preference."""

    def __init__(self, secrets: typing.Sequence[bytes]) -> None:
        if not secrets:
            raise ValueError('at least one secret is required')
        if any(len(secret) < SECRET_MIN_BYTES for secret in secrets):
            raise ValueError(
                f'secrets must have at least {SECRET_MIN_BYTES} bytes'
            )
        self._by_fingerprint = {_fingerprint(s): s for s in secrets}

    def hello(self, identity: Identity, nonce: bytes) -> Hello:
        """Return the dialling side's first message."""
        fingerprints = tuple(self._by_fingerprint)
        return Hello(PROTOCOL_VERSION, identity, nonce, fingerprints)

    def challenge(
        self, hello: Hello, identity: Identity, nonce: bytes
    ) -> Challenge:
        """Return the listening side's answer to a hello.

        :raises AuthError: if the version differs, the nonce has a wrong size
            or no secret is shared.
        """
        _check_parameters(hello.version, hello.nonce)
        shared = [f for f in hello.fingerprints if f in self._by_fingerprint]
        if not shared:
            raise AuthError(Refusal.NO_SHARED_SECRET)
        proof = self._mac(shared[0], Role.LISTENER, hello, identity, nonce)
        return Challenge(PROTOCOL_VERSION, identity, nonce, shared[0], proof)

    def prove(self, hello: Hello, challenge: Challenge) -> Proof:
        """Check the listening side's proof and return the dialling side's.

        :raises AuthError: if the version, nonce or proof is not valid.
        """
        _check_parameters(challenge.version, challenge.nonce)
        if challenge.fingerprint not in self._by_fingerprint:
            raise AuthError(Refusal.NO_SHARED_SECRET)
        expected = self._prove_role(Role.LISTENER, hello, challenge)
        if not hmac.compare_digest(expected, challenge.proof):
            raise AuthError(Refusal.BAD_PROOF)
        return Proof(self._prove_role(Role.DIALLER, hello, challenge))

    def verify(self, hello: Hello, challenge: Challenge, proof: Proof) -> None:
        """Check the dialling side's proof.

        :raises AuthError: if the proof is not valid.
        """
        expected = self._prove_role(Role.DIALLER, hello, challenge)
        if not hmac.compare_digest(expected, proof.proof):
            raise AuthError(Refusal.BAD_PROOF)

    def _prove_role(
        self, role: Role, hello: Hello, challenge: Challenge
    ) -> bytes:
        return self._mac(
            challenge.fingerprint,
            role,
            hello,
            challenge.identity,
            challenge.nonce,
        )

    def _mac(
        self,
        fingerprint: bytes,
        role: Role,
        hello: Hello,
        listener: Identity,
        nonce: bytes,
    ) -> bytes:
        transcript = _Transcript(hello, listener, nonce)
        data = role.value.encode() + msgspec.msgpack.encode(transcript)
        secret = self._by_fingerprint[fingerprint]
        return hmac.digest(secret, data, hashlib.sha256)


def _fingerprint(secret: bytes) -> bytes:
    digest = hashlib.sha256(b'dogwoodquay secret ' + secret).digest()
    return digest[:_FINGERPRINT_BYTES]


def _check_parameters(version: int, nonce: bytes) -> None:
    if version != PROTOCOL_VERSION:
        raise AuthError(Refusal.VERSION)
    if len(nonce) != NONCE_BYTES:
        raise AuthError(Refusal.MALFORMED)
