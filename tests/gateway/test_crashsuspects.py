"""Tests which requests and parts of prompts are refused after crashes."""

import unittest

from rhubarbwinch.gateway.crashsuspects import (
    MAX_CRASHES,
    MAX_CRASHES_PROVEN,
    MAX_HARMLESS,
    MAX_LISTED,
    MAX_SUSPECTS,
    PROVEN_MS,
    REFUSAL_MS,
    SUSPECT_RETENTION_MS,
    TRIAL_MS,
    Crash,
    CrashSuspects,
    part_key,
    request_key,
)

FIRST, FATAL, OTHER = part_key("a1"), part_key("bad1"), part_key("c3")
STEP_MS = 700


class CrashSuspectsTest(unittest.TestCase):
    """The decisions of one gateway."""

    def setUp(self):
        self.may_try = True
        self.suspects = CrashSuspects(lambda key: self.may_try)
        self.crashes = 0
        self.now = 1_000

    def _crash(
        self, *parts, request=None, endpoint=None, after_ms=STEP_MS, sent_ms=0
    ):
        sent_ms = sent_ms or self.now
        self.now += after_ms
        self.crashes += 1
        crash = Crash(
            endpoint or (f"e{self.crashes}", 1),
            request_key(request or f"r{self.crashes}"),
            parts,
            sent_ms,
            self.now,
        )
        return self.suspects.record_crash(crash, self.now)

    def _is_refused(self, *keys):
        return self.suspects.find_refused(keys, self.now) is not None

    def test_a_request_is_refused_after_crashes_of_several_endpoints(self):
        for name in ("e1", "e2", "e2", "e1"):
            self._crash(request="r", endpoint=(name, 1))
        self.assertFalse(self._is_refused(request_key("r")))
        self._crash(request="r", endpoint=("e3", 1))
        self.assertTrue(self._is_refused(request_key("r")))
        self.assertFalse(self._is_refused(request_key("other")))

    def test_an_endpoint_that_restarts_under_its_id_counts_again(self):
        for started_ms in range(MAX_CRASHES):
            self._crash(request="r", endpoint=("e1", started_ms))
        self.assertTrue(self._is_refused(request_key("r")))

    def test_a_part_of_different_requests_is_refused(self):
        self.suspects.clear(FIRST, self.now)
        refused = [self._crash(FIRST, FATAL) for _ in range(MAX_CRASHES)]
        self.assertEqual(refused, [[]] * (MAX_CRASHES - 1) + [[FATAL]])
        self.assertTrue(self._is_refused(request_key("new"), FIRST, FATAL))
        self.assertFalse(self._is_refused(request_key("new"), FIRST, OTHER))

    def test_a_fatal_part_before_sound_ones_is_refused(self):
        self.suspects.clear(OTHER, self.now)
        for _ in range(MAX_CRASHES):
            self._crash(FATAL, OTHER)
        self.assertTrue(self._is_refused(FATAL))
        self.assertFalse(self._is_refused(OTHER))

    def test_a_part_that_was_sound_before_is_refused_if_it_is_not_now(self):
        for part in (FIRST, FATAL):
            self.suspects.clear(part, self.now)
        for _ in range(MAX_CRASHES_PROVEN):
            self._crash(FIRST, FATAL)
            self.suspects.clear(FIRST, self.now + 1)
        self.assertTrue(self._is_refused(FATAL))
        self.assertFalse(self._is_refused(FIRST))

    def test_no_sound_part_is_refused_while_no_answer_begins(self):
        # All engines are gone at times, so that nothing shows what is sound.
        for part in (FIRST, OTHER):
            self.suspects.clear(part, self.now)
        for _ in range(3 * MAX_CRASHES_PROVEN):
            self._crash(FIRST, FATAL, OTHER)
        self.assertEqual(self.suspects.refused_keys(), [FATAL])

    def test_a_part_that_a_prompt_has_twice_is_counted_once(self):
        for _ in range(MAX_CRASHES):
            self._crash(FIRST, FIRST, FATAL)
            self.suspects.clear(FIRST, self.now)
        self.assertEqual(self.suspects.refused_keys(), [FATAL])
        for _ in range(MAX_CRASHES):
            self._crash(FIRST, FIRST, OTHER)
        self.assertIn(OTHER, self.suspects.refused_keys())

    def test_engines_that_are_lost_at_once_accuse_no_part(self):
        self.suspects.clear(FIRST, self.now)
        sent_ms = self.now
        for _ in range(40):
            self._crash(FIRST, OTHER, after_ms=20, sent_ms=sent_ms)
        self.assertEqual(self.suspects.refused_keys(), [])

    def test_success_clears_what_was_suspected(self):
        self._crash(FATAL, request="r")
        self._crash(FATAL, request="r")
        for key in (FATAL, request_key("r")):
            self.assertTrue(self.suspects.clear(key, self.now))
        self._crash(FATAL, request="r")
        self.assertEqual(self.suspects.refused_keys(), [])
        self.assertFalse(self.suspects.clear(OTHER, self.now))

    def test_a_success_before_the_last_crash_clears_nothing(self):
        before = self.now
        for _ in range(MAX_CRASHES):
            self._crash(FATAL)
        self.assertFalse(self.suspects.clear(FATAL, before))
        self.assertTrue(self._is_refused(FATAL))

    def test_crashes_of_long_ago_do_not_count(self):
        for _ in range(MAX_CRASHES - 1):
            self._crash(FATAL)
        self._crash(FATAL, after_ms=SUSPECT_RETENTION_MS + 1)
        self.assertFalse(self._is_refused(FATAL))

    def test_one_gateway_tries_a_suspect_once_after_its_refusal(self):
        for _ in range(MAX_CRASHES):
            self._crash(FATAL)
        self.now += REFUSAL_MS
        self.may_try = False
        self.assertTrue(self._is_refused(FATAL))
        self.may_try = True
        self.assertFalse(self._is_refused(FATAL))
        self.assertEqual(self.suspects.record_trial([FATAL], self.now), [FATAL])
        self.assertTrue(self._is_refused(FATAL))
        self._crash(FATAL)
        self.now += 2 * REFUSAL_MS - 1
        self.assertTrue(self._is_refused(FATAL))
        self.now += 1
        self.assertFalse(self._is_refused(FATAL))

    def test_a_trial_that_succeeds_ends_the_refusal(self):
        for _ in range(MAX_CRASHES):
            self._crash(FATAL)
        self.now += REFUSAL_MS
        self.suspects.record_trial([FATAL], self.now)
        self.now += TRIAL_MS // 2
        self.assertTrue(self.suspects.clear(FATAL, self.now))
        self.assertFalse(self._is_refused(FATAL))

    def test_a_suspect_that_others_refuse_is_adopted(self):
        self.assertTrue(self.suspects.adopt(FATAL, self.now))
        self.assertFalse(self.suspects.adopt(FATAL, self.now))
        self.assertTrue(self._is_refused(FATAL))

    def test_a_part_that_is_known_as_harmless_is_not_adopted(self):
        self.suspects.clear(FIRST, self.now)
        self.assertFalse(self.suspects.adopt(FIRST, self.now + 1))
        self.assertEqual(self.suspects.harmless_ms(FIRST, self.now), self.now)
        self.now += PROVEN_MS + 1
        self.assertTrue(self.suspects.adopt(FIRST, self.now))

    def test_what_is_kept_is_bounded(self):
        for i in range(MAX_SUSPECTS + 50):
            self._crash(part_key(f"{i:x}"))
        for i in range(MAX_HARMLESS + 50):
            self.suspects.clear(part_key(f"s{i:x}"), self.now)
        for i in range(MAX_LISTED + 5):
            self.suspects.adopt(part_key(f"l{i:x}"), self.now)
        self.assertLessEqual(len(self.suspects._suspects), MAX_SUSPECTS + 20)
        self.assertEqual(len(self.suspects._harmless), MAX_HARMLESS)
        self.assertEqual(len(self.suspects.refused_keys()), MAX_LISTED)
