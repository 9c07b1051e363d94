"""Collects crashes and finds the traits of requests that explain them."""

from __future__ import annotations

import collections
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import sound

__all__ = ['CrashEvidence', 'CrashKey', 'Explanation']

# Crashes that are considered together.
EVIDENCE_SECONDS: typing.Final = 120.0
MAX_CRASHES: typing.Final = 128
MAX_REQUESTS_PER_CRASH: typing.Final = 64
# Crashes after which a part is suspect, and after which it may be convicted.
MIN_SUSPECT_CRASHES: typing.Final = 2
MIN_CRASHES: typing.Final = 3
# Reports of one process that are further apart are of two: the second one
# came before its reporter knew of the new process.
SAME_CRASH_SECONDS: typing.Final = 2.0
# The same with a crash from the store, which another clock has timed.
SAME_RESTORED_SECONDS: typing.Final = 10.0
# Servers that end within this time may have ended for the same reason.
SAME_REASON_SECONDS: typing.Final = 0.5
# Different requests with a part of a prompt; repeats of one do not count.
# One request is enough for the trait that stands for all of it.
MIN_REQUESTS: typing.Final = 2


class CrashKey(typing.NamedTuple):
    """The process that has ended.

    ``number`` tells apart processes whose start is not known.
    """

    server_id: str
    started_ms: int
    number: int


class Explanation(typing.NamedTuple):
    """Parts that come together in requests under which servers ended.

    ``rivals`` are other parts that may have ended several of these servers.
    ``doubtful`` is whether it may be wrong: there are rivals, or some of the
    servers may have ended by themselves, for one reason or as one of them
    ends often. A whole request always is, as nothing else needs to have it
    for it to be there when servers end.
    """

    parts: frozenset[str]
    servers: frozenset[CrashKey]
    last_at: float
    rivals: frozenset[str] = frozenset()
    doubtful: bool = False


class _Crash:
    """The end of one server by the reports of all instances.

    ``reported`` is false if it is known from the store alone.
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.reported = False
        self.requests: set[api.BrokenRequest] = set()

    def add(self, requests: abc.Iterable[api.BrokenRequest]) -> bool:
        """Add requests that broke off; return whether any is new."""
        before = len(self.requests)
        for request in requests:
            if len(self.requests) >= MAX_REQUESTS_PER_CRASH:
                break
            self.requests.add(request)
        return len(self.requests) > before


class CrashEvidence:
    """The crashes of the last minutes."""

    def __init__(self, sound_parts: sound.SoundTraits) -> None:
        self._sound = sound_parts
        self._crashes: dict[CrashKey, _Crash] = {}

    @property
    def reports(self) -> list[api.CrashReport]:
        """The crashes with what may have caused them."""
        found = []
        for key, crash in self._crashes.items():
            requests = (self._suspicious(item) for item in crash.requests)
            left = tuple(item for item in requests if item.shared)
            if left:
                found.append(
                    api.CrashReport(
                        key.server_id, crash.at, left, key.started_ms
                    )
                )
        return found

    def add(self, report: api.CrashReport) -> bool:
        """Join a report with those of the same process.

        :return: whether it tells anything new.
        """
        crash = self._crash_of(report)
        crash.reported = True
        added = crash.add(report.requests)
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        return added

    def restore(self, reports: abc.Iterable[api.CrashReport]) -> None:
        """Add crashes that were kept in the store."""
        for report in reports:
            if len(self._crashes) >= MAX_CRASHES:
                break
            self._crash_of(report).add(report.requests)

    def _crash_of(self, report: api.CrashReport) -> _Crash:
        """Return the crash that a report is of, a new one if need be."""
        number = 0
        while True:
            key = CrashKey(report.server_id, report.started_ms, number)
            crash = self._crashes.get(key)
            if crash is None:
                crash = self._crashes[key] = _Crash(report.at)
                return crash
            limit = SAME_CRASH_SECONDS
            if not crash.reported:
                limit = SAME_RESTORED_SECONDS
            if abs(report.at - crash.at) <= limit:
                return crash
            number += 1

    def expire(self, now: float) -> bool:
        """Forget old crashes; return whether there were any."""
        before = len(self._crashes)
        self._crashes = {
            key: crash
            for key, crash in self._crashes.items()
            if now - crash.at <= EVIDENCE_SECONDS
        }
        return len(self._crashes) < before

    def suspects(self) -> dict[str, int]:
        """Return the suspect parts with their numbers of crashes."""
        return {
            part: len(servers)
            for part, servers in self._servers_by_part(self._crashes).items()
            if len(servers) >= MIN_SUSPECT_CRASHES
        }

    def explanations(
        self, may_convict: abc.Container[str]
    ) -> list[Explanation]:
        """Return the fewest parts that explain the crashes.

        Crashes that are known from the store alone convict nothing: the
        instances that have ended knew what was sound, and have decided.

        :param may_convict: the parts to which no instance has objected.
        """
        found: list[Explanation] = []
        unexplained = dict(self._crashes)
        while True:
            by_part = self._servers_by_part(unexplained)
            guilty = [
                (-len(servers), -len(self._common_parts(part, servers)), part)
                for part, servers in by_part.items()
                if len(servers) >= MIN_CRASHES
                and part in may_convict
                and any(self._crashes[name].reported for name in servers)
                and self._is_repeated(part, servers)
            ]
            if not guilty:
                return found
            # Of equal explanations, the one that refuses the fewest requests.
            *_, part = min(guilty)
            servers = by_part[part]
            last_at = max(self._crashes[name].at for name in servers)
            parts = self._common_parts(part, servers)
            rivals = frozenset(
                other
                for other, names in by_part.items()
                if other not in parts
                and len(names & servers) >= MIN_SUSPECT_CRASHES
            )
            doubtful = (
                bool(rivals)
                or self._events(servers) < MIN_CRASHES
                or len({key.server_id for key in servers}) < MIN_CRASHES
                or any(api.is_whole_request(item) for item in parts)
            )
            found.append(
                Explanation(
                    parts, frozenset(servers), last_at, rivals, doubtful
                )
            )
            for key in servers:
                del unexplained[key]

    def _suspicious(self, request: api.BrokenRequest) -> api.BrokenRequest:
        """Return a request without the traits that had an answer."""
        return request._replace(
            shared=frozenset(
                part for part in request.shared if part not in self._sound
            )
        )

    def _servers_by_part(
        self, crashes: abc.Mapping[CrashKey, _Crash]
    ) -> dict[str, set[CrashKey]]:
        """Return the servers that ended under each part without an answer."""
        servers: dict[str, set[CrashKey]] = collections.defaultdict(set)
        for key, crash in crashes.items():
            for request in crash.requests:
                for part in request.shared:
                    if part not in self._sound:
                        servers[part].add(key)
        return servers

    def _requests(
        self, part: str, servers: abc.Iterable[CrashKey]
    ) -> list[api.BrokenRequest]:
        return [
            request
            for key in servers
            for request in self._crashes[key].requests
            if part in request.shared
        ]

    def _events(self, servers: abc.Iterable[CrashKey]) -> int:
        """Return how many crashes cannot have had one reason by their time."""
        count, last_at = 0, float('-inf')
        for at in sorted(self._crashes[name].at for name in servers):
            count += at - last_at >= SAME_REASON_SECONDS
            last_at = at
        return count

    def _is_repeated(self, part: str, servers: abc.Iterable[CrashKey]) -> bool:
        """Whether enough requests with a part have crashed servers."""
        if api.is_whole_request(part):
            return True
        own = {item.own for item in self._requests(part, servers)}
        return len(own) >= MIN_REQUESTS

    def _common_parts(
        self, part: str, servers: abc.Iterable[CrashKey]
    ) -> frozenset[str]:
        """Return the parts without an answer that always come with a part."""
        common = frozenset.intersection(
            *(item.shared for item in self._requests(part, servers))
        )
        return frozenset(item for item in common if item not in self._sound)
