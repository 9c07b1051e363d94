"""Lets single requests through verdicts, which may be wrong.

Nothing under a verdict is sent, so that nothing could clear its parts. The
owner lets one request at a time through, at one instance.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['MAX_PROBES', 'Probe', 'Probes', 'Progress']

# The most probes of a verdict. A failed one is the last.
MAX_PROBES: typing.Final = 2
# A verdict is probed this long after it was reached, when its servers may be
# back and earlier requests have told what is sound.
DELAY_SECONDS: typing.Final = 1.0
# A probe without a result ends after this time.
RESULT_SECONDS: typing.Final = 4.0
# How long an instance wants a probe after it has refused a request.
WANTED_SECONDS: typing.Final = 2.0
# An instance does not use a probe that it has had for longer.
USE_SECONDS: typing.Final = 2.0
# A probe that is neither used nor returned until then counts as used.
LOST_SECONDS: typing.Final = 4.0

_Parts = frozenset[str]


class Probe(typing.NamedTuple):
    """The newest probe of a verdict.

    Its request has all ``parts`` and none of the ``rivals``, which explain
    the same crashes. ``number`` counts all probes, ``left`` those that may
    follow. ``member`` is the instance that may send it, empty for none.
    """

    parts: _Parts
    rivals: _Parts = frozenset()
    number: int = 0
    left: int = MAX_PROBES
    member: str = ''


class Progress(typing.NamedTuple):
    """What an instance tells of a verdict's probes.

    ``number`` is that of the newest probe that it has sent, zero for none,
    and ``failed`` whether the server ended under it.
    """

    parts: _Parts
    number: int
    failed: bool


class _Own(typing.NamedTuple):
    """The probes of a verdict at the instance that may send them."""

    wanted_until: float = float('-inf')
    granted: int = 0
    usable_until: float = float('-inf')
    sent: int = 0
    failed: bool = False


class _Granted(typing.NamedTuple):
    """A probe that an instance has, by the knowledge of the owner.

    ``told_at`` is when the instance last told of it, and ``sent_at`` when it
    first told that it has sent it.
    """

    at: float
    told_at: float
    sent_at: float | None = None


class Probes:
    """The probes of all verdicts that an instance knows."""

    def __init__(self) -> None:
        self._probes: dict[_Parts, Probe] = {}
        self._due_at: dict[_Parts, float] = {}
        self._own: dict[_Parts, _Own] = {}
        self._wishes: dict[_Parts, dict[str, float]] = {}
        self._granted: dict[_Parts, _Granted] = {}
        self._over: set[_Parts] = set()

    @property
    def all(self) -> tuple[Probe, ...]:
        """All verdicts that are or may be probed."""
        return tuple(self._probes.values())

    def left(self, parts: _Parts) -> int:
        """Return how many probes a verdict has left, open or not."""
        if parts in self._over:
            return 0
        probe = self._probes.get(parts)
        return MAX_PROBES if probe is None else probe.left

    def __contains__(self, parts: object) -> bool:
        return parts in self._probes

    def open(self, probe: Probe, now: float) -> None:
        """Have a verdict probed, unless it is already."""
        if probe.parts not in self._probes and probe.left > 0:
            self._probes[probe.parts] = probe
            self._due_at[probe.parts] = now + DELAY_SECONDS

    def close(self, parts: _Parts) -> bool:
        """End the probes of a verdict; return whether there were any."""
        self._over.discard(parts)
        self._due_at.pop(parts, None)
        self._own.pop(parts, None)
        self._wishes.pop(parts, None)
        self._granted.pop(parts, None)
        return self._probes.pop(parts, None) is not None

    def adopt(self, probes: abc.Iterable[Probe], now: float) -> None:
        """Take over what the owner tells."""
        listed = {probe.parts: probe for probe in probes}
        for parts in self._probes.keys() - listed.keys():
            self.close(parts)
        for parts, probe in listed.items():
            self._due_at.setdefault(parts, now)
            self._probes[parts] = probe

    def update_rivals(self, parts: _Parts, rivals: _Parts) -> None:
        """Replace the rivals of a verdict."""
        probe = self._probes.get(parts)
        if probe is not None:
            self._probes[parts] = probe._replace(rivals=rivals)

    def take(
        self, parts: _Parts, shared: _Parts, member: str, now: float
    ) -> bool:
        """Give a request under a verdict a probe, if this instance has one.

        Else the instance wants one. The request keeps the probe until
        ``unsent`` returns it.

        :return: whether the request may go through.
        """
        probe = self._probes.get(parts)
        if probe is None or probe.rivals & shared:
            return False
        own = self._own.get(parts, _Own())
        own = own._replace(wanted_until=now + WANTED_SECONDS)
        if probe.member == member and probe.number > own.granted:
            own = own._replace(
                granted=probe.number, usable_until=now + USE_SECONDS
            )
        usable = (
            probe.member == member
            and own.sent < own.granted
            and now <= own.usable_until
        )
        if usable:
            own = own._replace(sent=own.granted, failed=False)
        self._own[parts] = own
        return usable

    def unsent(self, parts: _Parts) -> None:
        """Return a probe whose request has reached no server."""
        own = self._own.get(parts)
        if own is not None:
            self._own[parts] = own._replace(sent=own.sent - 1)

    def failed(self, parts: _Parts) -> None:
        """Record that a server ended under the newest own probe."""
        own = self._own.get(parts)
        if own is not None:
            self._own[parts] = own._replace(failed=True)

    def progress(self, member: str, now: float) -> tuple[Progress, ...]:
        """Return what an instance tells the owner of its own probes."""
        return tuple(
            Progress(parts, own.sent, own.failed)
            for parts, own in self._own.items()
            if own.wanted_until >= now or self._probes[parts].member == member
        )

    def on_progress(
        self, member: str, progress: abc.Iterable[Progress], now: float
    ) -> bool:
        """Apply what an instance tells; return whether a verdict is firm."""
        firm = False
        for item in progress:
            probe = self._probes.get(item.parts)
            if probe is None:
                continue
            wishes = self._wishes.setdefault(item.parts, {})
            wishes[member] = now + WANTED_SECONDS
            if member != probe.member:
                continue
            granted = self._granted.get(item.parts, _Granted(now, now))
            sent_at = granted.sent_at
            if item.number >= probe.number:
                if item.failed:
                    firm = self._end(item.parts)
                    continue
                sent_at = now if sent_at is None else sent_at
            self._granted[item.parts] = granted._replace(
                told_at=now, sent_at=sent_at
            )
        return firm

    def step(self, now: float) -> bool:
        """Grant probes, and end those without a result, as the owner.

        :return: whether anything has changed.
        """
        changed = False
        for parts, probe in list(self._probes.items()):
            if probe.member:
                probe = self._ended(probe, now)
            if not probe.member and not probe.left:
                changed = self._end(parts) or changed
                continue
            if not probe.member and now >= self._due_at[parts]:
                probe = self._grant(probe, now)
            if probe != self._probes[parts]:
                self._probes[parts] = probe
                changed = True
        return changed

    def _end(self, parts: _Parts) -> bool:
        """Make a verdict firm."""
        self.close(parts)
        self._over.add(parts)
        return True

    def _grant(self, probe: Probe, now: float) -> Probe:
        wishes = self._wishes.get(probe.parts, {})
        members = sorted(name for name, until in wishes.items() if until > now)
        if not members:
            return probe
        self._granted[probe.parts] = _Granted(now, now)
        return probe._replace(
            number=probe.number + 1, left=probe.left - 1, member=members[0]
        )

    def _ended(self, probe: Probe, now: float) -> Probe:
        """Return a probe without its member if that is done with it."""
        granted = self._granted.setdefault(probe.parts, _Granted(now, now))
        if granted.sent_at is not None:
            if now - granted.sent_at <= RESULT_SECONDS:
                return probe
            return probe._replace(member='')
        if now - granted.told_at > LOST_SECONDS:
            return probe._replace(member='')
        if granted.told_at - granted.at > USE_SECONDS + LOST_SECONDS:
            # The instance has told of it since, so that it was not sent.
            self._wishes.pop(probe.parts, None)
            return probe._replace(member='', left=probe.left + 1)
        return probe
