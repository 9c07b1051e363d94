"""Tests of the verdicts of one instance or of several."""

from __future__ import annotations

import unittest

from dogwoodquay.quarantine import api
from dogwoodquay.quarantine import core
from dogwoodquay.quarantine import evidence
from dogwoodquay.quarantine import sound
from dogwoodquay.quarantine import verdicts

_HEARING = core.HEARING_SECONDS


def _prompt(*parts: str) -> api.Traits:
    prompt = api.traits_of(parts)
    assert prompt is not None
    return prompt


def _report(
    server_id: str, at: float, *requests: tuple[str, ...]
) -> api.CrashReport:
    """Return a report; of each request the last part is its own."""
    broken = tuple(
        api.BrokenRequest(parts[-1], frozenset(parts[:-1]))
        for parts in requests
    )
    return api.CrashReport(server_id, at, broken)


class _QuarantineCase(unittest.TestCase):
    """An instance that decides."""

    def setUp(self) -> None:
        """Begin without evidence."""
        self.quarantine = core.Quarantine('front-0')
        self.now = 100.0

    def crash(self, server_id: str, *requests: tuple[str, ...]) -> None:
        """Report a crash with these requests."""
        self.quarantine.on_crash(_report(server_id, self.now, *requests))

    def decide(self) -> list[list[str]]:
        """Let suspects be heard, and return the parts of all verdicts."""
        self.quarantine.step(self.now, decides=True)
        self.now += _HEARING
        self.quarantine.step(self.now, decides=True)
        return sorted(sorted(v.parts) for v in self.quarantine.verdicts)

    def refuses(self, *parts: str) -> bool:
        """Whether a request is refused."""
        prompt = api.traits_of(parts)
        return self.quarantine.find(prompt, self.now) is not None


class ConvictionTest(_QuarantineCase):
    """Which parts are convicted."""

    def test_part_in_all_crashes(self) -> None:
        """Parts with complete answers are not convicted."""
        self.quarantine.on_answered(_prompt('first', 'c1', 'o'), self.now)
        for number in range(3):
            own = f'own-{number}'
            self.crash(f's{number}', ('first', 'c1', 'bad', own))
        self.assertEqual([['bad']], self.decide())
        self.assertTrue(self.refuses('other', 'bad', 'x'))
        self.assertFalse(self.refuses('first', 'c1', 'x'))

    def test_last_part(self) -> None:
        """A request's own part is neither convicted nor refused."""
        for number in range(3):
            self.crash(f's{number}', ('bad', f'own-{number}'))
        self.assertEqual([['bad']], self.decide())
        self.assertFalse(self.refuses('first', 'bad'))
        self.assertFalse(self.refuses('bad'))

    def test_too_few_crashes(self) -> None:
        """Two crashes may have had other causes."""
        for number in range(2):
            self.crash(f's{number}', ('bad', f'own-{number}'))
        self.assertEqual([], self.decide())
        self.assertTrue(self.quarantine.is_suspect(_prompt('bad', 'x')))

    def test_repeats_of_one_request(self) -> None:
        """One request that runs into several crashes convicts nothing."""
        for number in range(5):
            self.crash(f's{number}', ('doc', 'own'))
        self.assertEqual([], self.decide())

    def test_several_reports_on_one_server(self) -> None:
        """The reports of all instances on a server are one crash."""
        for number in range(5):
            self.crash('s0', ('bad', f'own-{number}'))
        self.assertEqual([], self.decide())

    def test_requests_beside(self) -> None:
        """The part with most crashes explains those of the others."""
        for number in range(4):
            requests = [('bad', f'own-{number}')]
            if number:
                requests.append(('doc', f'beside-{number}'))
            self.crash(f's{number}', *requests)
        self.assertEqual([['bad']], self.decide())

    def test_better_explanation(self) -> None:
        """A verdict is replaced once the evidence tells more."""
        for number in range(3):
            self.crash(f's{number}', ('a', f'x-{number}'), ('b', f'{number}'))
        self.assertEqual([['a']], self.decide())
        self.crash('s3', ('b', 'own'))
        self.assertEqual([['b']], self.decide())

    def test_parts_that_come_together(self) -> None:
        """What cannot be told apart is refused together only."""
        for number in range(3):
            self.crash(f's{number}', ('bad', 'with', f'own-{number}'))
        self.assertEqual([['bad', 'with']], self.decide())
        self.assertFalse(self.refuses('with', 'x'))
        self.quarantine.on_answered(_prompt('with', 'o'), self.now)
        self.assertEqual([['bad']], self.decide())

    def test_two_guilty_parts(self) -> None:
        """Each needs crashes of its own."""
        for number in range(3):
            self.crash(f's{number}', ('a', f'x-{number}'))
            self.crash(f't{number}', ('b', f'y-{number}'))
        self.assertEqual([['a'], ['b']], self.decide())

    def test_not_before_the_hearing(self) -> None:
        """Others have time to object."""
        for number in range(3):
            self.crash(f's{number}', ('bad', f'own-{number}'))
        self.quarantine.step(self.now, decides=True)
        self.assertEqual(('bad',), self.quarantine.suspects)
        self.now += _HEARING / 2
        self.quarantine.step(self.now, decides=True)
        self.assertEqual([], self.quarantine.verdicts)

    def test_who_does_not_decide(self) -> None:
        """Others than the owner wait for its verdict."""
        for number in range(3):
            self.crash(f's{number}', ('bad', f'own-{number}'))
        for _ in range(2):
            self.quarantine.step(self.now, decides=False)
            self.now += _HEARING
        self.assertEqual([], self.quarantine.verdicts)

    def test_old_evidence(self) -> None:
        """Crashes that are far apart have no common cause."""
        for number in range(3):
            self.crash(f's{number}', ('bad', f'own-{number}'))
            self.now += evidence.EVIDENCE_SECONDS / 2 + 1.0
        self.assertEqual([], self.decide())


class ProcessTest(_QuarantineCase):
    """Servers start again under their ids (BUDGET)."""

    def _end(self, server_id: str, started_ms: int, own: str) -> None:
        report = _report(server_id, self.now, ('bad', own))
        self.quarantine.on_crash(report._replace(started_ms=started_ms))

    def test_three_processes_of_one_server(self) -> None:
        """Each of them is a crash."""
        for number in range(3):
            self._end('s1', 1000 + number, f'own-{number}')
        self.assertEqual([['bad']], self.decide())

    def test_reports_on_one_process(self) -> None:
        """They are one crash."""
        for number in range(3):
            self._end('s1', 1000, f'own-{number}')
            self.now += 0.5
        self.assertEqual([], self.decide())

    def test_process_not_known_yet(self) -> None:
        """The instance has not read the entry of the new process."""
        for number in range(3):
            self._end('s1', 1000, f'own-{number}')
            self.now += 3.0
        self.assertEqual([['bad']], self.decide())


class EndTest(_QuarantineCase):
    """When a verdict ends."""

    def setUp(self) -> None:
        """Convict a part."""
        super().setUp()
        for number in range(3):
            self.crash(f's{number}', ('bad', f'own-{number}'))
        self.decide()

    def _is_in_force(self) -> bool:
        self.quarantine.step(self.now, decides=True)
        return bool(self.quarantine.verdicts)

    def test_requests_keep_it(self) -> None:
        """It stays as long as such requests come."""
        for _ in range(3):
            self.now += verdicts.QUIET_SECONDS - 1.0
            self.assertTrue(self.refuses('bad', 'x'))
            self.assertTrue(self._is_in_force())

    def test_without_requests(self) -> None:
        """It ends after a long time without such requests."""
        self.now += verdicts.QUIET_SECONDS - 1.0
        self.assertTrue(self._is_in_force())
        self.now += 2.0
        self.assertFalse(self._is_in_force())

    def test_complete_answer(self) -> None:
        """It ends if a request with the part has a complete answer."""
        self.quarantine.on_answered(_prompt('bad', 'o'), self.now)
        self.assertFalse(self._is_in_force())


class ExchangeTest(_QuarantineCase):
    """What the owner and the others tell each other."""

    def setUp(self) -> None:
        """Create the owner's quarantine."""
        super().setUp()
        self.owner = core.Quarantine('front-0')

    def _tell(self, sender: core.Quarantine) -> None:
        self.owner.on_peer_reports(
            sender.reports(self.now),
            sender.objections(),
            sender.verdicts,
            self.now,
        )
        self.owner.step(self.now, decides=True)
        sender.on_owner_view(self.owner.suspects, self.owner.verdicts)

    def test_crashes_at_several_instances(self) -> None:
        """The owner joins what each instance has seen once."""
        others = [core.Quarantine('front-0') for _ in range(3)]
        for number, other in enumerate(others):
            other.on_crash(
                _report(f's{number}', self.now, ('bad', f'own-{number}'))
            )
        for _ in range(2):
            for other in others:
                self._tell(other)
            self.now += _HEARING
        for other in others:
            prompt = _prompt('bad', 'x')
            self.assertIsNotNone(other.find(prompt, self.now))

    def test_objection(self) -> None:
        """An instance objects to a part that it has seen answered."""
        sound = core.Quarantine('front-0')
        sound.on_answered(_prompt('first', 'o'), self.now)
        for number in range(3):
            self.crash(f's{number}', ('first', 'bad', f'own-{number}'))
        for _ in range(2):
            self._tell(self.quarantine)
            self._tell(sound)
            self.now += _HEARING
        self._tell(sound)
        self.assertEqual(
            [frozenset({'bad'})], [v.parts for v in self.owner.verdicts]
        )

    def test_new_owner(self) -> None:
        """Verdicts and recent reports reach an owner that lacks them."""
        verdict = api.Verdict(frozenset({'bad'}), self.now, 3)
        self.quarantine.on_owner_view((), [verdict])
        self._tell(self.quarantine)
        self.assertEqual([verdict], self.owner.verdicts)

    def test_withdrawn_by_the_owner(self) -> None:
        """The owner's verdicts replace those of the others."""
        verdict = api.Verdict(frozenset({'bad'}), self.now, 3)
        self.quarantine.on_owner_view((), [verdict])
        self.quarantine.on_owner_view((), None)
        self.assertEqual([verdict], self.quarantine.verdicts)
        self.quarantine.on_owner_view((), [])
        self.assertEqual([], self.quarantine.verdicts)

    def test_time_of_reports(self) -> None:
        """Reports are told for some time only."""
        self.crash('s0', ('bad', 'own'))
        self.now += core.REPORT_SECONDS + 0.1
        self.assertEqual([], self.quarantine.reports(self.now))


class BoundsTest(_QuarantineCase):
    """Callers invent parts; what is kept of them is bounded."""

    def test_reported_requests(self) -> None:
        """A load carries a limited number of requests."""
        for number in range(50):
            requests = [(f'p{number}', f'o{n}') for n in range(10)]
            self.crash(f's{number}', *requests)
        reports = self.quarantine.reports(self.now)
        count = sum(len(report.requests) for report in reports)
        self.assertLessEqual(count, core.MAX_REPORTED_REQUESTS)
        self.assertEqual('s49', reports[0].server_id)

    def test_suspects(self) -> None:
        """The suspects with the most crashes are named."""
        for number in range(2):
            for start in range(0, 640, 16):
                parts = [f'p{n}' for n in range(start, start + 16)]
                self.crash(f's{number}', (*parts, f'o{start}'))
        self.quarantine.step(self.now, decides=True)
        self.assertEqual(core.MAX_SUSPECTS, len(self.quarantine.suspects))

    def test_verdicts(self) -> None:
        """The verdicts that were longest without a request go first."""
        for number in range(verdicts.MAX_VERDICTS + 1):
            verdict = api.Verdict(frozenset({f'p{number}'}), number, 3)
            self.quarantine.on_peer_reports((), (), [verdict], self.now)
        kept = {part for v in self.quarantine.verdicts for part in v.parts}
        self.assertEqual(verdicts.MAX_VERDICTS, len(kept))
        self.assertNotIn('p0', kept)

    def test_long_prompts(self) -> None:
        """Of long prompts the first parts are considered."""
        self.assertIsNone(api.traits_of(('own',)))
        self.assertIsNone(api.traits_of(()))
        parts = tuple(f'p{number}' for number in range(40))
        expected = frozenset(parts[: api.MAX_PARTS])
        self.assertEqual(api.Traits(expected, 'p39'), api.traits_of(parts))


class LongNameTest(_QuarantineCase):
    """Parts have names of any length (BUDGET)."""

    def test_convicted(self) -> None:
        """Names with the same beginning are told apart, in bounded memory."""
        bad, sound = 'x' * 300, 'x' * 299 + 'y'
        for number in range(3):
            traits = _prompt('a', bad, f'own-{number}')
            for part in traits.shared:
                self.assertLessEqual(len(part), api.MAX_PART_CHARACTERS)
            request = api.BrokenRequest(traits.own, traits.shared)
            self.quarantine.on_crash(
                api.CrashReport(f's{number}', self.now, (request,))
            )
        self.quarantine.on_answered(_prompt('a', 'own'), self.now)
        self.decide()
        self.assertTrue(self.refuses('a', bad, 'own'))
        self.assertFalse(self.refuses('a', sound, 'own'))

    def test_long_names_of_requests(self) -> None:
        """Requests whose last parts have long names are told apart."""
        owns = {_prompt('a', 'x' * 100 + end).own for end in 'yz'}
        self.assertEqual(2, len(owns))


class RepeatedRequestTest(_QuarantineCase):
    """One request comes again and crashes servers."""

    def request(self, identity: str, *parts: str) -> api.Traits:
        """Return the traits of a request."""
        traits = api.traits_of(parts, identity)
        assert traits is not None
        return traits

    def crash_under(self, server_id: str, *traits: api.Traits) -> None:
        """Report a crash under requests."""
        broken = tuple(api.BrokenRequest(t.own, t.shared) for t in traits)
        self.quarantine.on_crash(api.CrashReport(server_id, self.now, broken))

    def assert_refused(self, refused: bool, traits: api.Traits) -> None:
        """Assert whether a request is refused."""
        found = self.quarantine.find(traits, self.now)
        self.assertEqual(refused, found is not None)

    def test_plain_request(self) -> None:
        """Three crashes convict one request, which has no prompt."""
        guilty = self.request('g')
        for number in range(2):
            self.crash_under(f's{number}', guilty, self.request(f'b{number}'))
        self.assertEqual([], self.decide())
        self.assertTrue(self.quarantine.is_suspect(guilty))
        self.crash_under('s2', guilty, self.request('b2'))
        self.assertEqual(1, len(self.decide()))
        self.assert_refused(True, guilty)
        self.assert_refused(False, self.request('b0'))

    def test_stream_with_the_same_parts(self) -> None:
        """The request is refused, not others with its parts."""
        guilty = self.request('g', 'first', 'caller', 'own')
        for number in range(3):
            self.crash_under(f's{number}', guilty)
        self.decide()
        self.assert_refused(True, guilty)
        self.assert_refused(
            False, self.request('other', 'first', 'caller', 'own')
        )

    def test_part_of_different_requests(self) -> None:
        """A part that crashes more servers takes the place of a request."""
        for number in range(3):
            self.crash_under(f's{number}', self.request('g', 'bad', 'own'))
        self.decide()
        self.assert_refused(False, self.request('h', 'bad', 'own-2'))
        for number in range(3, 5):
            self.crash_under(
                f's{number}', self.request(f'g{number}', 'bad', f'o{number}')
            )
        self.assertEqual([['bad']], self.decide())
        self.assert_refused(True, self.request('h', 'bad', 'own-2'))

    def test_answered_request(self) -> None:
        """A request that had a complete answer is not convicted."""
        popular = self.request('g')
        self.quarantine.on_answered(popular, self.now)
        for number in range(3):
            self.crash_under(f's{number}', popular)
        self.assertEqual([], self.decide())

    def test_forged_part(self) -> None:
        """A part that looks like a whole request is left out."""
        guilty = self.request('g')
        (trait,) = guilty.shared
        forged = self.request('f', trait, 'own')
        self.assertNotIn(trait, forged.shared)

    def test_many_requests(self) -> None:
        """Callers that invent requests do not make parts forgotten."""
        self.quarantine.on_answered(self.request('a', 'p', 'own'), self.now)
        for number in range(3 * sound.MAX_TRAITS_PER_GENERATION):
            self.quarantine.on_answered(self.request(f'{number}'), self.now)
        for number in range(3):
            self.crash_under(
                f's{number}', self.request(f'x{number}', 'p', f'o{number}')
            )
        self.assertEqual([], self.decide())
