"""Reports ends of servers to the quarantine and shares what it knows."""

from __future__ import annotations

import collections
import contextlib
import typing

import anyio

from . import crash_rows
from . import failures
from . import messages
from ..observe import logs
from . import outcomes
from ..quarantine import api as quarantine_api
from ..quarantine import core
from ..quarantine import records
from ..quarantine import requests

if typing.TYPE_CHECKING:
    from collections import abc

    import anyio.abc

    from .. import clock as clocks
    from . import api
    from ..external.http import client
    from ..fleet import api as fleet_api
    from ..fleet import server as servers
    from . import metrics as gateway_metrics

__all__ = ['CrashWatch']

_LOG: typing.Final = logs.ComponentLog('quarantine')

STEP_SECONDS: typing.Final = 0.1
CONNECT_SECONDS: typing.Final = 0.4
# Without the owner's view for so long, an instance decides alone.
ALONE_SECONDS: typing.Final = 1.5
MAX_BROKEN: typing.Final = 1024
# The ends of an attempt that an end of its server would have as well.
_CONNECTION_ENDS: typing.Final = frozenset(
    {'connection', 'protocol', 'event_cut'}
)


# Callers may use the identifier of an attempt again.
_Key = tuple[str, float]


class CrashWatch:
    """Watches how requests end.

    An answer that breaks off may mean that its server has ended. A refused
    connection proves it.
    """

    def __init__(
        self,
        connections: client.Connections,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        member: str,
    ) -> None:
        """Create the watch of an instance.

        :param member: its name.
        """
        self._connections = connections
        self._clock = clock
        self._metrics = metrics
        self._quarantine = core.Quarantine(member)
        self._in_flight: set[requests.InFlight] = set()
        self._probing: dict[_Key, requests.Probing] = {}
        self._ended: dict[
            requests.Process, collections.deque[requests.Ended]
        ] = {}
        self._proven: dict[requests.Process, float] = {}
        self._checking: set[requests.Process] = set()
        self._waiting: dict[anyio.CancelScope, quarantine_api.Traits] = {}
        self._heard_at = float('-inf')
        self._is_owner = False
        self._informed = False
        self._tasks: anyio.abc.TaskGroup | None = None
        self._on_report: abc.Callable[[], None] = lambda: None
        metrics.gauge(
            'gateway_quarantine_verdicts',
            'Verdicts by which requests are refused',
            lambda: len(self._quarantine.verdicts),
        )
        metrics.gauge(
            'gateway_quarantine_suspects',
            'Traits of requests that may cause crashes, at the owner',
            lambda: len(self._quarantine.suspects),
        )

    @property
    def is_owner(self) -> bool:
        """Whether this instance decides for all."""
        return self._is_owner

    @property
    def decides(self) -> bool:
        """Whether this instance decides, as the owner or without one."""
        alone = self._clock.now() - self._heard_at > ALONE_SECONDS
        return self._is_owner or alone

    @property
    def informed(self) -> bool:
        """Whether another instance has told its verdicts as the owner."""
        return self._informed

    @property
    def has_verdicts(self) -> bool:
        """Whether any request may be refused."""
        return self._quarantine.has_verdicts

    @property
    def revision(self) -> int:
        """Rises with each change of what is to be kept."""
        return self._quarantine.revision

    @property
    def kept(self) -> records.Kept:
        """What has to outlive the instances."""
        return self._quarantine.kept

    def restore(self, kept: records.Kept) -> None:
        """Add what the store has kept."""
        self._log(self._quarantine.restore(kept, self._clock.now()))

    def on_report(self, notify: abc.Callable[[], None]) -> None:
        """Set what is called with each new report, to send it at once."""
        self._on_report = notify

    async def run(self) -> None:
        """Decide on the suspects until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self.step()
                await anyio.sleep(STEP_SECONDS)

    def step(self) -> None:
        """Decide, and forget what is old."""
        now = self._clock.now()
        self._settle(now)
        for in_flight in self._in_flight:
            if in_flight.has_lasted and not in_flight.sound:
                in_flight.sound = True
                self._quarantine.on_answered(in_flight.traits, now)
        self._log(self._quarantine.step(now, self.decides))

    def is_refused(self, call: api.Call) -> bool:
        """Whether a request is refused as servers have crashed under it.

        One that is let through to probe a verdict is the probe until
        ``finish`` is called.
        """
        if not self._quarantine.has_verdicts:
            return False
        now = self._clock.now()
        traits = traits_of(call)
        verdict = self._quarantine.find(traits, now)
        if verdict is None:
            return False
        probing = self._probing.get(_key(call))
        if probing is not None:
            return probing.parts != verdict.parts
        parts = self._quarantine.take_probe(traits, now)
        if parts is None:
            return True
        self._probing[_key(call)] = requests.Probing(parts)
        self._metrics.probed()
        _LOG.write('probed', request=call.request_id, parts=sorted(parts))
        return False

    def finish(self, call: api.Call) -> None:
        """Record that a request has ended, at whatever servers it was."""
        probing = self._probing.pop(_key(call), None)
        if probing is not None and not probing.sent:
            self._quarantine.return_probe(probing.parts)

    def may_be_cleared(self, call: api.Call) -> bool:
        """Whether a refused request may soon be found to be sound."""
        return self._quarantine.may_be_cleared(traits_of(call))

    def may_repeat(self, call: api.Call, outcome: outcomes.Outcome) -> bool:
        """Whether a request may be sent again after a failed attempt."""
        if not isinstance(outcome, outcomes.Broken):
            return True
        if _key(call) in self._probing:
            return False
        return not self._quarantine.is_suspect(traits_of(call))

    @contextlib.contextmanager
    def waiting(self, call: api.Call) -> abc.Iterator[anyio.CancelScope]:
        """Cancel the wait for a server once the request is refused."""
        traits = traits_of(call)
        with anyio.CancelScope() as scope:
            if traits is not None and _key(call) not in self._probing:
                self._waiting[scope] = traits
            try:
                yield scope
            finally:
                self._waiting.pop(scope, None)

    def begin(
        self, call: api.Call, server: servers.Server
    ) -> requests.InFlight | None:
        """Record a request that is sent; ``None`` if it has no traits."""
        traits = traits_of(call)
        if traits is None:
            return None
        in_flight = requests.InFlight(traits, server.entry)
        probing = self._probing.get(_key(call))
        if probing is not None:
            probing.sent = True
            in_flight.probing = probing
        self._in_flight.add(in_flight)
        return in_flight

    def leave(self, in_flight: requests.InFlight | None) -> None:
        """Record that a request is at its server no longer."""
        if in_flight is not None:
            self._in_flight.discard(in_flight)

    def end(
        self, in_flight: requests.InFlight | None, outcome: outcomes.Outcome
    ) -> None:
        """Record how a request ended."""
        if in_flight is None:
            return
        now = self._clock.now()
        match outcome:
            case outcomes.NotRun() if in_flight.probing is not None:
                in_flight.probing.sent = False
            case outcomes.Broken(reason) if reason in _CONNECTION_ENDS:
                self._on_ended(in_flight, False, now)
            case outcomes.Streamed(framed):
                self._on_answered(in_flight, framed, now)
            case outcomes.Whole(status, framed=framed):
                if status < failures.SERVER_ERROR:
                    self._on_answered(in_flight, framed, now)
            case _:
                pass

    def on_unreachable(self, server: fleet_api.ServerEntry) -> None:
        """Check a server that accepts no connection after an answer."""
        if requests.process_of(server) in self._ended:
            self._check(server)

    def load_rows(
        self,
    ) -> tuple[
        tuple[messages.CrashRow, ...],
        tuple[str, ...],
        tuple[messages.VerdictRow, ...],
    ]:
        """Return the own reports, objections and verdicts for the owner."""
        now = self._clock.now()
        reports = crash_rows.to_crash_rows(self._quarantine.reports(now), now)
        return reports, self._quarantine.objections(), self.verdict_rows()

    def verdict_rows(self) -> tuple[messages.VerdictRow, ...]:
        """Return the verdicts as messages carry them."""
        return crash_rows.to_verdict_rows(
            self._quarantine.verdicts, self._clock.now()
        )

    def probe_rows(self) -> tuple[messages.ProbeRow, ...]:
        """Return the verdicts that are not firm yet."""
        return crash_rows.to_probe_rows(self._quarantine.probes)

    def probe_progress_rows(self) -> tuple[messages.ProbeProgressRow, ...]:
        """Return what became of the own probes, for the owner."""
        return crash_rows.to_progress_rows(
            self._quarantine.probe_progress(self._clock.now())
        )

    def suspects(self) -> tuple[str, ...]:
        """Return the suspects that the owner's views name."""
        return self._quarantine.suspects

    def on_load(self, load: messages.InstanceLoad) -> None:
        """Apply what an instance reports to the owner."""
        now = self._clock.now()
        self._log(
            self._quarantine.on_peer_reports(
                crash_rows.from_crash_rows(load.crashes, now),
                load.sound_parts,
                crash_rows.from_verdict_rows(load.verdicts, now),
                now,
                crash_rows.from_probe_rows(load.probes),
            )
        )
        self._quarantine.on_peer_progress(
            load.instance_id,
            crash_rows.from_progress_rows(load.probe_progress),
            now,
        )

    def on_view(self, view: messages.FleetView, is_owner: bool) -> None:
        """Apply the owner's view."""
        now = self._clock.now()
        self._heard_at = now
        self._is_owner = is_owner
        if is_owner:
            return
        verdicts = view.verdicts
        self._informed = True
        self._log(
            self._quarantine.on_owner_view(
                view.suspects,
                None
                if verdicts is None
                else crash_rows.from_verdict_rows(verdicts, now),
                crash_rows.from_probe_rows(view.probes),
                now,
            )
        )

    def _on_answered(
        self, in_flight: requests.InFlight, framed: bool, now: float
    ) -> None:
        """Record a complete answer, if its end was not just that of a server.

        :param framed: whether its end was marked.
        """
        if framed:
            self._quarantine.on_answered(in_flight.traits, now)
        else:
            self._on_ended(in_flight, True, now)

    def _on_ended(
        self, in_flight: requests.InFlight, complete: bool, now: float
    ) -> None:
        server = in_flight.server
        ended = in_flight.ended(complete, now)
        process = requests.process_of(server)
        if process in self._proven:
            self._add_crash(
                requests.crash_report(process, [ended], now), [ended]
            )
            return
        queue = self._ended.setdefault(
            process, collections.deque(maxlen=MAX_BROKEN)
        )
        queue.append(ended)
        if not complete:
            self._check(server)

    def _check(self, server: fleet_api.ServerEntry) -> None:
        """Ask for a connection, once at a time for each server."""
        if (
            self._tasks is None
            or requests.process_of(server) in self._checking
        ):
            return
        self._checking.add(requests.process_of(server))
        self._tasks.start_soon(self._prove, server)

    async def _prove(self, server: fleet_api.ServerEntry) -> None:
        try:
            refused = await self._connections.is_refused(
                server.address, server.port, CONNECT_SECONDS
            )
        finally:
            self._checking.discard(requests.process_of(server))
        now = self._clock.now()
        ended = (
            self._ended.pop(requests.process_of(server), None)
            if refused
            else None
        )
        if ended is not None:
            self._proven[requests.process_of(server)] = now
            self._report(requests.process_of(server), ended, now)

    def _report(
        self,
        process: requests.Process,
        ended: abc.Iterable[requests.Ended],
        now: float,
    ) -> None:
        """Report the requests under which a server may have ended."""
        report = requests.crash_report(process, ended, now)
        parts = {part for item in report.requests for part in item.shared}
        self._metrics.server_ended()
        _LOG.write(
            'server_ended',
            server=process.server_id,
            started_ms=process.started_ms,
            requests=len(report.requests),
            parts=sorted(parts),
        )
        self._add_crash(report, ended)

    def _add_crash(
        self,
        report: quarantine_api.CrashReport,
        ended: abc.Iterable[requests.Ended],
    ) -> None:
        for item in ended:
            if item.probing is not None and item.fresh:
                self._quarantine.on_probe_failed(item.probing.parts)
        self._quarantine.on_crash(report)
        self._on_report()

    def _settle(self, now: float) -> None:
        """Forget broken answers without a proof; others were complete."""
        for process, queue in list(self._ended.items()):
            while queue and now - queue[0].at > requests.PROOF_SECONDS:
                ended = queue.popleft()
                if ended.complete:
                    self._quarantine.on_answered(ended.traits, now)
            if not queue:
                del self._ended[process]
        self._proven = {
            process: at
            for process, at in self._proven.items()
            if now - at <= requests.PROOF_SECONDS
        }

    def _log(self, changes: core.Changes) -> None:
        for verdict in changes.added:
            self._metrics.convicted()
            _LOG.write(
                'convicted',
                parts=sorted(verdict.parts),
                crashes=verdict.crashes,
            )
        if changes.added:
            self._end_waits()
        for verdict, reason in changes.ended:
            _LOG.write('released', parts=sorted(verdict.parts), reason=reason)

    def _end_waits(self) -> None:
        """End the waits of requests that are refused now."""
        now = self._clock.now()
        for scope, traits in self._waiting.items():
            if self._quarantine.find(traits, now) is not None:
                scope.cancel()


def _key(call: api.Call) -> _Key:
    return call.request_id, call.arrived_at


def traits_of(call: api.Call) -> quarantine_api.Traits | None:
    """Return what a request has in common with others and its repeats."""
    parts = tuple(part.part_id for part in call.terms.prompt_parts)
    return quarantine_api.traits_of(parts, call.identity)
