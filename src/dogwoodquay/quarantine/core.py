"""Decides which requests are refused because servers crash under them."""

from __future__ import annotations

import collections
import typing

from . import evidence as crash_evidence
from . import probes as verdict_probes
from . import records
from . import sound
from . import verdicts as verdicts_module

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api

__all__ = ['Changes', 'Quarantine']

# How long own reports are sent, so that a new owner receives them as well.
REPORT_SECONDS: typing.Final = 10.0
MAX_REPORTED_REQUESTS: typing.Final = 64
# How long a suspect is named before it may be convicted. Instances that have
# seen it in a complete answer object within this time.
HEARING_SECONDS: typing.Final = 0.7
MAX_SUSPECTS: typing.Final = 64
# For so long others may still tell a verdict that has ended here.
ENDED_SECONDS: typing.Final = 10.0


class Changes(typing.NamedTuple):
    """Verdicts that are new, and those that have ended with the reason."""

    added: list[api.Verdict]
    ended: list[tuple[api.Verdict, str]]


class Quarantine:
    """The evidence and the verdicts that one instance knows.

    :param member: the name of the instance.
    """

    def __init__(self, member: str) -> None:
        self._member = member
        self._probes = verdict_probes.Probes()
        self._sound = sound.SoundTraits()
        self._evidence = crash_evidence.CrashEvidence(self._sound)
        self._verdicts = verdicts_module.Verdicts()
        self._ended_at: dict[frozenset[str], float] = {}
        self._reports: collections.deque[api.CrashReport] = collections.deque()
        # Since when each suspect is named.
        self._named_at: dict[str, float] = {}
        self._peers_suspects: frozenset[str] = frozenset()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Rises with each change of what is to be kept."""
        return self._revision

    @property
    def kept(self) -> records.Kept:
        """What has to outlive the instances."""
        return records.Kept(
            tuple(self._verdicts.all),
            tuple(self._evidence.reports),
            self._probes.all,
        )

    @property
    def has_verdicts(self) -> bool:
        """Whether any request may be refused."""
        return bool(self._verdicts)

    @property
    def verdicts(self) -> list[api.Verdict]:
        """The verdicts in force."""
        return self._verdicts.all

    @property
    def suspects(self) -> tuple[str, ...]:
        """The traits that may be convicted, unless somebody objects."""
        return tuple(self._named_at)

    def find(
        self, traits: api.Traits | None, now: float
    ) -> api.Verdict | None:
        """Return the verdict by which a request is refused, if any."""
        if not self._verdicts or traits is None:
            return None
        return self._verdicts.find(traits.shared, now)

    @property
    def probes(self) -> tuple[verdict_probes.Probe, ...]:
        """The verdicts that are not firm yet."""
        return self._probes.all

    def take_probe(
        self, traits: api.Traits | None, now: float
    ) -> frozenset[str] | None:
        """Return the verdict that a refused request may probe, if any."""
        if traits is None or not self._probes.all:
            return None
        matching = self._verdicts.matching(traits.shared)
        if len(matching) != 1:
            return None
        parts = matching[0].parts
        if self._probes.take(parts, traits.shared, self._member, now):
            return parts
        return None

    def return_probe(self, parts: frozenset[str]) -> None:
        """Return a probe whose request has reached no server."""
        self._probes.unsent(parts)

    def on_probe_failed(self, parts: frozenset[str]) -> None:
        """Record that a server ended under a probe of this instance."""
        self._probes.failed(parts)

    def may_be_cleared(self, traits: api.Traits | None) -> bool:
        """Whether a request may be refused for a short time only."""
        if traits is None:
            return False
        return all(
            verdict.parts in self._probes
            for verdict in self._verdicts.matching(traits.shared)
        )

    def probe_progress(
        self, now: float
    ) -> tuple[verdict_probes.Progress, ...]:
        """Return what this instance tells the owner of its probes."""
        return self._probes.progress(self._member, now)

    def is_suspect(self, traits: api.Traits | None) -> bool:
        """Whether a repeat of a request may cost one more server."""
        if traits is None:
            return False
        return any(
            part not in self._sound
            and (part in self._named_at or part in self._peers_suspects)
            for part in traits.shared
        )

    def restore(self, kept: records.Kept, now: float) -> Changes:
        """Add what the store has kept."""
        self._revision += 1
        self._evidence.restore(kept.crashes)
        added = self._verdicts.merge(kept.verdicts)
        self._open_probes(added, kept.probes, now)
        return Changes(added, [])

    def on_answered(self, traits: api.Traits, now: float) -> None:
        """Record a complete answer."""
        self._sound.add(traits.shared, now)

    def on_crash(self, report: api.CrashReport) -> None:
        """Record the end of a server with requests of this instance."""
        known = tuple(
            request._replace(
                shared=frozenset(
                    part for part in request.shared if part not in self._sound
                )
            )
            for request in report.requests
        )
        left = tuple(request for request in known if request.shared)
        report = report._replace(requests=left[:MAX_REPORTED_REQUESTS])
        if self._evidence.add(report):
            self._revision += 1
        self._reports.append(report)

    def reports(self, now: float) -> list[api.CrashReport]:
        """Return the recent reports of this instance."""
        while self._reports and now - self._reports[0].at > REPORT_SECONDS:
            self._reports.popleft()
        chosen, count = [], 0
        for report in reversed(self._reports):
            count += len(report.requests)
            if count > MAX_REPORTED_REQUESTS:
                break
            chosen.append(report)
        return chosen

    def objections(self) -> tuple[str, ...]:
        """Return the suspects of others that have had a complete answer.

        Parts of verdicts that are probed count as well.
        """
        named = self._peers_suspects.union(
            *(probe.parts for probe in self._probes.all)
        )
        return tuple(part for part in named if part in self._sound)

    def on_peer_reports(
        self,
        reports: abc.Iterable[api.CrashReport],
        objections: abc.Iterable[str],
        verdicts: abc.Iterable[api.Verdict],
        now: float,
        probes: abc.Iterable[verdict_probes.Probe] = (),
    ) -> Changes:
        """Join what another instance reports to the owner, this instance."""
        self._sound.add(objections, now)
        added = [self._evidence.add(report) for report in reports]
        merged = self._verdicts.merge(
            item for item in verdicts if item.parts not in self._ended_at
        )
        self._open_probes(merged, probes, now)
        if any(added) or merged:
            self._revision += 1
        return Changes(merged, [])

    def on_peer_progress(
        self,
        member: str,
        progress: abc.Iterable[verdict_probes.Progress],
        now: float,
    ) -> None:
        """Apply what another instance tells of its probes, as the owner."""
        if self._probes.on_progress(member, progress, now):
            self._revision += 1

    def on_owner_view(
        self,
        suspects: abc.Iterable[str],
        verdicts: abc.Iterable[api.Verdict] | None,
        probes: abc.Iterable[verdict_probes.Probe] = (),
        now: float = 0.0,
    ) -> Changes:
        """Take over what the owner knows; ``None`` for an earlier build."""
        self._peers_suspects = frozenset(suspects)
        if verdicts is None:
            return Changes([], [])
        added, withdrawn = self._verdicts.replace(verdicts)
        self._probes.adopt(probes, now)
        return Changes(added, [(item, 'owner') for item in withdrawn])

    def step(self, now: float, decides: bool) -> Changes:
        """Expire what is old and decide on the suspects.

        :param decides: whether this instance is the owner, or hears of none.
        """
        changes = self._step(now, decides)
        self._ended_at = {
            parts: at
            for parts, at in self._ended_at.items()
            if now - at <= ENDED_SECONDS
        }
        for verdict, _ in changes.ended:
            self._ended_at[verdict.parts] = now
        for verdict in changes.added:
            self._ended_at.pop(verdict.parts, None)
        if changes.added or changes.ended:
            self._revision += 1
        return changes

    def _step(self, now: float, decides: bool) -> Changes:
        self._sound.expire(now)
        if self._evidence.expire(now):
            self._revision += 1
        ended = [(item, 'quiet') for item in self._verdicts.expire(now)]
        for verdict, _ in ended:
            self._probes.close(verdict.parts)
        if not decides:
            self._named_at.clear()
            return Changes([], ended)
        # Others wait for the owner, who convicts what explains the crashes
        # instead at the same time.
        for verdict in self._verdicts.refute(self._sound):
            self._probes.close(verdict.parts)
            ended.append((verdict, 'answered'))
        self._step_probes(now)
        suspects = self._evidence.suspects()
        most = sorted(suspects, key=lambda part: (-suspects[part], part))
        self._named_at = {
            part: self._named_at.get(part, now) for part in most[:MAX_SUSPECTS]
        }
        heard = {
            part
            for part, named_at in self._named_at.items()
            if now - named_at >= HEARING_SECONDS
        }
        if not heard:
            return Changes([], ended)
        explanations = self._evidence.explanations(heard)
        added, withdrawn = self._verdicts.apply(explanations)
        ended.extend((item, 'explained') for item in withdrawn)
        self._probe_explained(explanations, added, withdrawn, now)
        return Changes(added, ended)

    def _step_probes(self, now: float) -> None:
        own = self._probes.progress(self._member, now)
        firm = self._probes.on_progress(self._member, own, now)
        if self._probes.step(now) or firm:
            self._revision += 1

    def _open_probes(
        self,
        verdicts: abc.Iterable[api.Verdict],
        probes: abc.Iterable[verdict_probes.Probe],
        now: float,
    ) -> None:
        """Go on with the probes of verdicts that are new here."""
        new = {verdict.parts for verdict in verdicts}
        for probe in probes:
            if probe.parts in new:
                self._probes.open(probe, now)

    def _probe_explained(
        self,
        explanations: abc.Iterable[crash_evidence.Explanation],
        added: abc.Iterable[api.Verdict],
        withdrawn: abc.Iterable[api.Verdict],
        now: float,
    ) -> None:
        """Have doubtful verdicts probed.

        They take over what the withdrawn ones have left.
        """
        left = verdict_probes.MAX_PROBES
        for verdict in withdrawn:
            left = min(left, self._probes.left(verdict.parts))
            self._probes.close(verdict.parts)
        new = {verdict.parts for verdict in added}
        for item in explanations:
            if item.parts in new and item.doubtful:
                self._probes.open(
                    verdict_probes.Probe(item.parts, item.rivals, 0, left), now
                )
            self._probes.update_rivals(item.parts, item.rivals)
