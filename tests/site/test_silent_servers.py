"""End-to-end tests of answers whose servers fall silent and go on."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
import typing
import unittest

from . import processes
from . import server as servers
from . import silences

# When the configuration changes, after the requests were sent.
_CHANGE_SECONDS: typing.Final = 0.3
# Many requests of each kind at servers that fall silent together.
_MANY: typing.Final = 24
_MANY_EVENTS: typing.Final = 20
_MANY_EVENT_SECONDS: typing.Final = 0.05
_MANY_SILENT_SECONDS: typing.Final = 1.2
_CHANGES_OF_MANY: typing.Final = ('none', 'shorter idle limit')
# Second requests are sent up to this time before and after the end of the
# idle limit, most of them close to it.
_IDLE_MS: typing.Final = 800
_LONG_IDLE_MS: typing.Final = 60_000
_IDLE_CONNECTIONS: typing.Final = 80
_IDLE_SPREAD: typing.Final = 0.5
_SETTLE_SECONDS: typing.Final = 0.2


async def _call_with_changes() -> list[silences.Outcome]:
    """Send all cases together, once beside each change."""
    found: list[silences.Outcome] = []
    async with silences.Callers.running() as callers:
        for name, change in silences.CHANGES.items():
            callers.put(None)
            await callers.wait_in_force()
            cases = silences.plain_cases() + silences.stream_cases()
            executed = len(callers.executed()) + 2 * len(cases)
            calls = [
                asyncio.ensure_future(callers.call(name, case))
                for case in cases
            ]
            # A request that came after the change would follow that.
            while len(callers.executed()) < executed and not all(
                call.done() for call in calls
            ):
                await asyncio.sleep(0.01)
            if name != 'none':
                callers.put(change)
            found += await asyncio.gather(*calls)
    return found


class SilentServerTest(unittest.TestCase):
    """Servers that fall silent for one request beside each change."""

    outcomes: typing.ClassVar[list[silences.Outcome]]

    @classmethod
    def setUpClass(cls) -> None:
        """Run the requests; the tests look at their outcomes."""
        cls.outcomes = asyncio.run(_call_with_changes())

    def _assert_fine(
        self, name: str, *places: servers.Place, deadline: float = 5.0
    ) -> None:
        """Check the outcomes of a kind of route at these places."""
        found = [
            outcome
            for outcome in self.outcomes
            if outcome.case.prefix.strip('/').partition('.')[0] == name
            and outcome.case.silence is not None
            and outcome.case.silence.place in places
            and outcome.case.deadline_seconds == deadline
        ]
        self.assertEqual(
            set(silences.CHANGES), {outcome.change for outcome in found}
        )
        problems = [outcome.problem for outcome in found if outcome.problem]
        if problems:
            self.fail('\n'.join(problems))
        answered = {outcome.change for outcome in found if outcome.answered}
        self.assertEqual(set(silences.CHANGES), answered)

    def test_plain_with_one_attempt(self) -> None:
        """A server is silent before or within a plain answer."""
        self._assert_fine('plain-1', servers.Place.HEAD, servers.Place.BODY)

    def test_plain_with_two_attempts(self) -> None:
        """The same where a second attempt is allowed."""
        self._assert_fine('plain-2', servers.Place.HEAD, servers.Place.BODY)

    def test_plain_with_little_time(self) -> None:
        """The answer comes after more than half of the caller's time."""
        self._assert_fine('plain-2', servers.Place.HEAD, deadline=2.4)

    def test_not_idempotent(self) -> None:
        """The same for requests that may run once."""
        self._assert_fine('unsafe', servers.Place.HEAD, servers.Place.BODY)

    def test_stream_that_is_not_resumable(self) -> None:
        """A server is silent at any place of a stream that may run once."""
        self._assert_fine('fixed', *servers.Place)

    def test_head_of_stream_with_one_attempt(self) -> None:
        """A server is silent before the head of a resumable stream."""
        self._assert_fine('resumable-1', servers.Place.HEAD)

    def test_head_of_stream_with_two_attempts(self) -> None:
        """The same where a second attempt is allowed."""
        self._assert_fine('resumable-2', servers.Place.HEAD)

    def test_events_with_one_attempt(self) -> None:
        """A server is silent between or within events."""
        self._assert_fine(
            'resumable-1',
            servers.Place.BETWEEN_EVENTS,
            servers.Place.WITHIN_EVENT,
        )

    def test_events_with_two_attempts(self) -> None:
        """The same where a second attempt is allowed."""
        self._assert_fine(
            'resumable-2',
            servers.Place.BETWEEN_EVENTS,
            servers.Place.WITHIN_EVENT,
        )


_MANY_CASES: typing.Final = [
    *(
        silences.Case(
            f'/{name}.pair/',
            attempts,
            name != 'fixed',
            'loaded',
            None,
            events=_MANY_EVENTS,
        )
        for name, attempts in silences.STREAM_ROUTES.items()
    ),
    silences.Case('/unsafe.pair/', 2, False, '', None),
]


async def _call_many(server_ids: set[str]) -> list[silences.Outcome]:
    """Let all servers with these ids fall silent under many requests."""
    found: list[silences.Outcome] = []
    async with silences.Callers.running() as callers:
        chosen = [
            server
            for server in callers.site.servers
            if server.server_id in server_ids
        ]
        for server in callers.site.servers:
            server.events = _MANY_EVENTS
            server.event_seconds = _MANY_EVENT_SECONDS
        for name in _CHANGES_OF_MANY:
            sent = _MANY * len(_MANY_CASES)
            executed = len(callers.executed()) + 2 * sent
            calls = []
            for _ in range(_MANY):
                calls += [
                    asyncio.ensure_future(callers.call(name, case))
                    for case in _MANY_CASES
                ]
                await asyncio.sleep(0.005)
            while len(callers.executed()) < executed:
                await asyncio.sleep(0.01)
            await asyncio.sleep(_MANY_EVENT_SECONDS * 2)
            for server in chosen:
                server.fall_silent(_MANY_SILENT_SECONDS)
            await asyncio.sleep(_CHANGE_SECONDS)
            if name != 'none':
                callers.put(silences.CHANGES[name])
            found += await asyncio.gather(*calls)
    return found


class ManyStreamsTest(unittest.TestCase):
    """Servers that fall silent on all connections under many streams."""

    outcomes: typing.ClassVar[list[list[silences.Outcome]]]

    @classmethod
    def setUpClass(cls) -> None:
        """Run the requests of both tests at the same time."""
        cls.outcomes = asyncio.run(cls._call_all())

    @staticmethod
    async def _call_all() -> list[list[silences.Outcome]]:
        one = {'d.pair.0', 'e.pair.0'}
        return await asyncio.gather(
            _call_many(one), _call_many(one | {'d.pair.1', 'e.pair.1'})
        )

    def _assert_fine(self, outcomes: list[silences.Outcome]) -> None:
        for name in _CHANGES_OF_MANY:
            answered = [
                outcome
                for outcome in outcomes
                if outcome.change == name and outcome.answered
            ]
            self.assertGreaterEqual(len(answered), _MANY)
        problems = [outcome.problem for outcome in outcomes if outcome.problem]
        if problems:
            self.fail('\n'.join(problems))

    def test_one_server_of_two(self) -> None:
        """One server of each pair falls silent."""
        self._assert_fine(self.outcomes[0])

    def test_both_servers(self) -> None:
        """Both servers of each pair fall silent together."""
        self._assert_fine(self.outcomes[1])


async def _send_around_close(
    limits_ms: tuple[int, int], silent_seconds: float
) -> list[silences.Outcome]:
    """Send second requests around the time at which connections close.

    :param limits_ms: the idle limits before and after the first requests.
    :param silent_seconds: how long the first requests take. The limit changes
        before they are answered, or after them if it is zero.
    """
    async with silences.Callers.running() as callers:
        before, after = limits_ms
        callers.put(lambda content: silences.set_idle_timeout(content, before))
        await callers.wait_in_force()

        async def call_twice(
            number: int,
        ) -> tuple[str, processes.Answer | None, float]:
            first, second = callers.next_attempt(), callers.next_attempt()
            if silent_seconds:
                callers.silences[first] = servers.Silence(
                    servers.Place.HEAD, silent_seconds
                )
            async with processes.Connection.opened(
                callers.instance
            ) as connection:
                answer = await connection.call('/unsafe/x', first)
                assert answer.status == 200, answer
                position = number / _IDLE_CONNECTIONS * 2 - 1
                offset = position**3 * _IDLE_SPREAD
                await asyncio.sleep(min(limits_ms) / 1000 + offset)
                late: processes.Answer | None = None
                sent_at = time.monotonic()
                with contextlib.suppress(EOFError, OSError):
                    late = await connection.call('/unsafe/x', second)
            return second, late, time.monotonic() - sent_at

        calls = [
            asyncio.ensure_future(call_twice(number))
            for number in range(_IDLE_CONNECTIONS)
        ]
        await asyncio.sleep(_CHANGE_SECONDS)
        callers.put(lambda content: silences.set_idle_timeout(content, after))
        found = await asyncio.gather(*calls)
        # A request may reach its server after its caller's connection closed.
        await asyncio.sleep(_SETTLE_SECONDS)
        return [
            _outcome_at_close(callers, attempt, answer, seconds)
            for attempt, answer, seconds in found
        ]


def _outcome_at_close(
    callers: silences.Callers,
    attempt: str,
    answer: processes.Answer | None,
    seconds: float,
) -> silences.Outcome:
    """Return an outcome; one that was not passed on needs no answer."""
    case = silences.Case('/unsafe/', 2, False, '', None)
    ran_at = callers.servers_of(attempt)
    problem = ''
    if ran_at or answer is not None:
        problem = silences.find_problem(case, answer, ran_at, seconds)
    if problem:
        problem = f'{attempt}: {problem}'
    return silences.Outcome('', case, answer is not None, problem)


class IdleLimitTest(unittest.TestCase):
    """Requests on connections that are about to be closed."""

    outcomes: typing.ClassVar[list[list[silences.Outcome]]]

    @classmethod
    def setUpClass(cls) -> None:
        """Run the requests of all tests at the same time."""
        cls.outcomes = asyncio.run(cls._send_all())

    @staticmethod
    async def _send_all() -> list[list[silences.Outcome]]:
        return await asyncio.gather(
            _send_around_close((_IDLE_MS, _IDLE_MS), 0.0),
            _send_around_close((_IDLE_MS, _LONG_IDLE_MS), 0.0),
            _send_around_close((_LONG_IDLE_MS, _IDLE_MS), 0.0),
            _send_around_close((_LONG_IDLE_MS, _IDLE_MS), 1.2),
        )

    def _assert_fine(self, outcomes: list[silences.Outcome]) -> None:
        problems = [outcome.problem for outcome in outcomes if outcome.problem]
        self.assertEqual([], problems)
        self.assertTrue(any(outcome.answered for outcome in outcomes))

    def test_same_limit(self) -> None:
        """The limit stays as it is."""
        self._assert_fine(self.outcomes[0])

    def test_raised_while_idle(self) -> None:
        """The limit is raised while connections are idle."""
        self._assert_fine(self.outcomes[1])

    def test_lowered_while_idle(self) -> None:
        """The limit is lowered while connections are idle."""
        self._assert_fine(self.outcomes[2])

    def test_lowered_under_requests(self) -> None:
        """The limit is lowered while a server is silent."""
        self._assert_fine(self.outcomes[3])


async def _call_together(cases: list[silences.Case]) -> list[silences.Outcome]:
    async with silences.Callers.running() as callers:
        return await asyncio.gather(
            *(callers.call('none', case) for case in cases)
        )


class LittleTimeTest(unittest.TestCase):
    """Plain answers that come after more than half of the callers' time."""

    def _assert_answered(
        self, cases: list[silences.Case], prefix: str
    ) -> None:
        outcomes = asyncio.run(_call_together(cases))
        problems = [outcome.problem for outcome in outcomes if outcome.problem]
        if problems:
            self.fail('\n'.join(problems))
        self.assertTrue(
            all(
                outcome.answered
                for outcome in outcomes
                if outcome.case.prefix == prefix
            )
        )

    def test_while_another_request_waits(self) -> None:
        """A request of another service waits for a place meanwhile."""
        silence = servers.Silence(servers.Place.HEAD, 1.6)
        streams = [silences.stream_case('fixed', '.fixed.0', silence)] * 3
        silence = servers.Silence(servers.Place.HEAD, 1.5)
        plain = silences.Case('/plain-2.pair/', 2, True, '', silence, 2.4)
        self._assert_answered([*streams, plain], plain.prefix)

    def test_many_requests(self) -> None:
        """More requests are late than the retry budget allows to repeat."""
        silence = servers.Silence(servers.Place.HEAD, 1.5)
        plain = silences.Case('/plain-2.pair/', 2, True, '', silence, 2.4)
        self._assert_answered([plain] * _MANY, plain.prefix)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Planned stops of an instance whose servers are silent."""

    async def test_plain_request_at_a_planned_stop(self) -> None:
        """A plain answer that takes over half a second is not cut off."""
        async with silences.Callers.running() as callers:
            instance = callers.instance
            async with processes.Connection.opened(instance) as connection:
                await connection.call('/other/x', callers.next_attempt())
                instance.process.send_signal(signal.SIGTERM)
                attempt = callers.next_attempt()
                callers.silences[attempt] = servers.Silence(
                    servers.Place.HEAD, 1.6
                )
                call = asyncio.ensure_future(
                    connection.call('/unsafe/x', attempt, deadline_ms=4000)
                )
                while not callers.servers_of(attempt):
                    await asyncio.sleep(0.02)
                # The balancer removes the instance after two refusals.
                while await instance.readiness_status() == 200:
                    await asyncio.sleep(0.02)
                self.assertEqual(503, await instance.readiness_status())
                answer = await call
                self.assertEqual((200, True), (answer.status, answer.complete))
                self.assertEqual('close', answer.headers['connection'])
            self.assertEqual(0, await instance.wait_stopped())
