"""Keeps the verdicts on requests and on parts of prompts."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import evidence

__all__ = ['Verdicts']

MAX_VERDICTS: typing.Final = 64
# A verdict ends if no request under it has come for so long.
QUIET_SECONDS: typing.Final = 600.0


class Verdicts:
    """The parts whose requests are refused."""

    def __init__(self) -> None:
        self._verdicts: dict[frozenset[str], api.Verdict] = {}
        self._servers: dict[frozenset[str], frozenset[evidence.CrashKey]] = {}

    def __bool__(self) -> bool:
        return bool(self._verdicts)

    @property
    def all(self) -> list[api.Verdict]:
        """All verdicts."""
        return list(self._verdicts.values())

    def find(self, shared: frozenset[str], now: float) -> api.Verdict | None:
        """Return the verdict on a request's shared parts, if any."""
        for parts, verdict in self._verdicts.items():
            if parts <= shared:
                self._verdicts[parts] = verdict._replace(seen_at=now)
                return verdict
        return None

    def matching(self, shared: frozenset[str]) -> list[api.Verdict]:
        """Return all verdicts on a request's shared parts."""
        return [
            verdict
            for parts, verdict in self._verdicts.items()
            if parts <= shared
        ]

    def apply(
        self, explanations: abc.Iterable[evidence.Explanation]
    ) -> tuple[list[api.Verdict], list[api.Verdict]]:
        """Apply what explains the crashes now.

        A verdict that rests on crashes which another explanation covers now
        is withdrawn. One whose evidence has become old stays.

        :return: the new verdicts and those that were withdrawn.
        """
        added, withdrawn = [], []
        for item in explanations:
            if item.parts not in self._verdicts:
                verdict = api.Verdict(
                    item.parts, item.last_at, len(item.servers)
                )
                self._add(verdict)
                added.append(verdict)
            self._servers[item.parts] = item.servers
            for parts, servers in list(self._servers.items()):
                if parts != item.parts and servers <= item.servers:
                    withdrawn.append(self._verdicts.pop(parts))
                    del self._servers[parts]
        return added, withdrawn

    def merge(self, verdicts: abc.Iterable[api.Verdict]) -> list[api.Verdict]:
        """Adopt verdicts of others; return those that are new here."""
        added = []
        for verdict in verdicts:
            known = self._verdicts.get(verdict.parts)
            if known is None:
                if verdict.parts:
                    self._add(verdict)
                    added.append(verdict)
            elif verdict.seen_at > known.seen_at:
                self._verdicts[verdict.parts] = verdict
        return added

    def replace(
        self, verdicts: abc.Iterable[api.Verdict]
    ) -> tuple[list[api.Verdict], list[api.Verdict]]:
        """Take over the owner's verdicts; return the new and the withdrawn."""
        listed = {verdict.parts: verdict for verdict in verdicts}
        withdrawn = [
            self._verdicts.pop(parts)
            for parts in list(self._verdicts)
            if parts not in listed
        ]
        self._servers.clear()
        return self.merge(listed.values()), withdrawn

    def refute(self, sound: abc.Container[str]) -> list[api.Verdict]:
        """End verdicts whose parts have all had complete answers."""
        return self._remove(
            verdict
            for verdict in self._verdicts.values()
            if all(part in sound for part in verdict.parts)
        )

    def expire(self, now: float) -> list[api.Verdict]:
        """End verdicts under which no request comes; return them."""
        return self._remove(
            verdict
            for verdict in self._verdicts.values()
            if now - verdict.seen_at > QUIET_SECONDS
        )

    def _remove(
        self, verdicts: abc.Iterable[api.Verdict]
    ) -> list[api.Verdict]:
        removed = list(verdicts)
        for verdict in removed:
            del self._verdicts[verdict.parts]
            self._servers.pop(verdict.parts, None)
        return removed

    def _add(self, verdict: api.Verdict) -> None:
        self._verdicts[verdict.parts] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            verdicts = self._verdicts.values()
            self._remove([min(verdicts, key=lambda item: item.seen_at)])
