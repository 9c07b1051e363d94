"""Runs a pool's ledger during each term as the pool's owner."""

from __future__ import annotations

import collections
import typing

import anyio

from . import term as terms
from . import views

if typing.TYPE_CHECKING:
    from ..ownership import runner as ownership_runner
    from ..placement import api as placement_api

__all__ = ['LedgerRunner']

CHECK_INTERVAL_SECONDS: typing.Final = 1.0


class LedgerRunner:
    """Runs a pool's ledger while this process owns the pool."""

    def __init__(self, pool: str, parts: terms.Parts) -> None:
        self._pool = pool
        self._parts = parts
        self._term: ownership_runner.OwnershipTerm | None = None
        self._term_changed = anyio.Event()
        self._current: terms.PoolTerm | None = None
        self._last_epoch: int | None = None
        self._denials: collections.Counter[str] = collections.Counter()
        self._moves: collections.Counter[str] = collections.Counter()

    @property
    def moves(self) -> int:
        """The number of moves that this process has started."""
        return self._moves.total()

    @property
    def denials(self) -> collections.Counter[str]:
        """The number of denied moves by reason."""
        return self._denials

    @property
    def infeasible(self) -> tuple[placement_api.Infeasible, ...]:
        """The artifacts that the last plan could not place."""
        return () if self._current is None else self._current.infeasible

    def status(self) -> views.PoolStatus | None:
        """Return the status for operators, or nothing if not the owner."""
        if self._current is None:
            return None
        return views.pool_status(self._current.ledger)

    def set_term(self, term: ownership_runner.OwnershipTerm | None) -> None:
        """Set the current term, or nothing when ownership is lost."""
        self._term = term
        self._term_changed.set()
        if self._current is not None:
            self._current.stop()

    async def run(self) -> typing.NoReturn:
        """Run the current term, and each following one."""
        while True:
            term = self._term
            self._term_changed = anyio.Event()
            if term is not None and self._may_begin(term.epoch):
                self._last_epoch = term.epoch
                self._current = terms.PoolTerm(
                    self._pool,
                    term.epoch,
                    self._parts,
                    self._denials,
                    self._moves,
                )
                await self._current.run()
                self._current = None
                if self._term != term:
                    continue
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._term_changed.wait()

    def _may_begin(self, epoch: int) -> bool:
        """Whether to begin a term; a repeated one would reuse order ids."""
        declared = self._pool in self._parts.catalog().pools
        return declared and epoch != self._last_epoch
