"""Claims on idempotency keys through the log."""

from __future__ import annotations

import dataclasses
import typing
import uuid

import anyio

from . import answers
from . import api
from . import entries
from . import keys
from . import relay
from . import shard
from . import table
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from ..external import api as external_api
    from ..journal import api as journal_api
    from ..journal import follower as journal_follower
    from ..membership import api as membership_api

__all__ = ['ClaimSettings', 'LogClaims']

STREAM_PREFIX: typing.Final = 'claims.'
HORIZON_CHECK_INTERVAL_SECONDS: typing.Final = 30.0
FETCH_TIMEOUT_SECONDS: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Limits of the claims of one instance.

    ``appends_per_second`` limits the appends of all instances together. With
    more instances than ``relay_above``, a few relays append for all. Keys are
    dropped before ``key_lifetime_seconds`` when there are more than
    ``max_keys``, but never before ``table.MIN_LIFETIME_MS``.
    """

    shards: int = 1
    appends_per_second: float = 100.0
    min_interval_seconds: float = 0.01
    key_lifetime_seconds: float = 86_400.0
    max_keys: int = 300_000
    relay_above: int = 20


class LogClaims:
    """Implements ``api.Claims`` with sharded streams of the log."""

    def __init__(
        self,
        settings: ClaimSettings,
        log: external_api.Log,
        members: membership_api.Membership,
        transport: wire_api.Transport,
        clock: clocks.Clock,
        rng: random.Random,
        snapshots: journal_api.SnapshotSource | None = None,
    ) -> None:
        self._settings = settings
        self._members = members
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._instance = members.own.instance_id
        self._answers = answers.AnswerStore()
        incarnation = members.own.incarnation
        self._relay = relay.RelayLog(
            log, members, transport, clock, settings.relay_above
        )
        self._shards = [
            shard.Shard(
                f'{STREAM_PREFIX}{number}',
                self._instance,
                incarnation,
                log,
                self._relay,
                clock,
                rng,
                members.is_dead,
                self._interval,
                snapshots,
            )
            for number in range(settings.shards)
        ]
        for claim_shard in self._shards:
            self._relay.register_batcher(
                claim_shard.follower.stream, claim_shard.batcher
            )
        transport.register(answers.FetchAnswer, self._on_fetch)
        transport.register(answers.AnswerBody)

    @property
    def followers(self) -> tuple[journal_follower.Follower, ...]:
        """The followers of all shards, for checkpoints and status."""
        return tuple(claim_shard.follower for claim_shard in self._shards)

    @property
    def appends(self) -> int:
        """The number of appends sent by this instance."""
        return sum(claim_shard.batcher.appends for claim_shard in self._shards)

    async def run(self) -> None:
        """Run all shards until cancelled."""
        async with anyio.create_task_group() as tasks:
            for claim_shard in self._shards:
                tasks.start_soon(claim_shard.run)
            tasks.start_soon(self._raise_horizons)

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> api.ClaimAnswer:
        """Claim a key and wait for the decision of the log."""
        claim_shard = self._shard(caller, key)
        answer = await claim_shard.claim(caller, key, body_digest, deadline)
        if isinstance(answer, api.Known) and answer.answer.truncated:
            return await self._fetch(caller, key, answer, deadline)
        return answer

    async def settle(
        self,
        claim: api.Claim,
        answer: api.StoredAnswer | None,
        deadline: float,
    ) -> None:
        """Record the end of a granted claim."""
        if (
            answer is not None
            and answers.size(answer) > answers.MAX_INLINE_BYTES
        ):
            answer = self._keep_whole(claim, answer)
        claim_shard = self._shard(claim.caller, claim.key)
        await claim_shard.settle(claim, answer, deadline)

    async def withdraw(self, claim: api.Claim, deadline: float) -> bool:
        """Release a granted key whose request certainly did not run."""
        claim_shard = self._shard(claim.caller, claim.key)
        return await claim_shard.withdraw(claim, deadline)

    def _shard(self, caller: str, key: str) -> shard.Shard:
        key_id = keys.key_id(caller, key)
        if key_id is None:
            return self._shards[0]
        number = int.from_bytes(key_id.digest[:8], 'big')
        return self._shards[number % len(self._shards)]

    def _interval(self) -> float:
        writers = max(1, self._relay.writers)
        total = writers * len(self._shards)
        needed = total / self._settings.appends_per_second
        return max(self._settings.min_interval_seconds, needed)

    def _keep_whole(
        self, claim: api.Claim, answer: api.StoredAnswer
    ) -> api.StoredAnswer:
        key_id = keys.key_id(claim.caller, claim.key)
        assert key_id is not None
        self._answers.put(key_id.digest, answer)
        return api.StoredAnswer(
            answer.status, (), b'', truncated=True, holder=self._instance
        )

    async def _fetch(
        self, caller: str, key: str, known: api.Known, deadline: float
    ) -> api.ClaimAnswer:
        key_id = keys.key_id(caller, key)
        assert key_id is not None
        local = self._answers.get(key_id.digest)
        if local is not None:
            return api.Known(local)
        peer = self._address(known.answer.holder)
        if peer is None:
            return known
        limit = min(deadline, self._clock.now() + FETCH_TIMEOUT_SECONDS)
        fetched = await self._transport.request(
            peer, answers.FetchAnswer(key_id.digest), answers.AnswerBody, limit
        )
        return api.Known(fetched.ok.answer) if fetched.is_ok() else known

    def _address(self, instance: str) -> wire_api.PeerAddress | None:
        for member in self._members.members():
            if member.instance_id == instance and instance != self._instance:
                return wire_api.PeerAddress(member.address, member.port)
        return None

    async def _on_fetch(
        self,
        sender: wire_api.Sender,
        message: answers.FetchAnswer,
        deadline: float,
    ) -> answers.AnswerBody | None:
        answer = self._answers.get(message.key)
        return None if answer is None else answers.AnswerBody(answer)

    async def _raise_horizons(self) -> None:
        while True:
            pause = HORIZON_CHECK_INTERVAL_SECONDS * self._rng.uniform(
                0.5, 1.5
            )
            await anyio.sleep(pause)
            for claim_shard in self._shards:
                self._raise_horizon(claim_shard)

    def _raise_horizon(self, claim_shard: shard.Shard) -> None:
        lifetime = self._settings.key_lifetime_seconds
        now_ms = int(self._clock.now() * 1000)
        limit = self._settings.max_keys // len(self._shards)
        target_ms = claim_shard.table.horizon_for(
            limit, now_ms - int(lifetime * 1000)
        )
        target_ms = min(target_ms, now_ms - 2 * table.MIN_LIFETIME_MS)
        min_rise_ms = max(1, int(lifetime * 1000) // 24)
        rise_ms = target_ms - claim_shard.table.horizon_ms
        if claim_shard.table.size and rise_ms >= min_rise_ms:
            claim_shard.raise_horizon(
                entries.HorizonRaised(
                    entry_id=uuid.uuid4().hex, below_ms=target_ms
                )
            )
