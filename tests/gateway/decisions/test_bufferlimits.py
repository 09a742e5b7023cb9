"""Which callers a gateway disconnects, and which bodies it takes."""

import unittest

from rhubarbwinch.gateway.decisions.bufferlimits import (
    HARD_FACTOR,
    MIN_STALL_MS,
    BufferLimits,
    CallerUse,
)
from rhubarbwinch.http.buffercount import HeldResponse

SMALLEST_MB = 136
DEPLOYED_MB = 205
BASE_BYTES = 40 << 20


class BufferLimitsTest(unittest.TestCase):
    """Many callers that read slowly."""

    def setUp(self):
        self.limits = BufferLimits(SMALLEST_MB)

    def _choose(self, callers, held, now):
        return self.limits.choose_caller(callers, held, now)

    def test_the_smallest_vm_holds_what_the_bound_allows(self):
        # The process grows by up to 2.5 bytes for each that is counted.
        held = 2.5 * HARD_FACTOR * self.limits.total_bytes
        self.assertLess(BASE_BYTES + held, SMALLEST_MB << 20)

    def test_no_caller_is_cut_within_the_bound(self):
        stalled = [CallerUse(response_bytes=1, unread_since_ms=0)]
        held = self.limits.total_bytes
        self.assertIsNone(self._choose(stalled, held, 60_000))
        self.assertIs(self._choose(stalled, held + 1, 60_000), stalled[0])

    def test_many_that_stall_at_once_stay_near_the_bound(self):
        # 500 callers stop reading and the engines fill 300 KB for each: without
        # a bound on their sum they hold 150 MB. The longest unread goes first.
        part = 300_000
        callers, cut = {}, []
        for number in range(500):
            use = CallerUse(response_bytes=part, unread_since_ms=number)
            callers[use] = number
            held = part * len(callers)
            victim = self._choose(callers, held, 500)
            if victim is not None:
                cut.append(callers.pop(victim))
            self.assertLessEqual(
                part * len(callers), HARD_FACTOR * self.limits.total_bytes
            )
        self.assertGreater(len(cut), 300)
        self.assertEqual(cut, list(range(len(cut))))

    def test_a_steady_reader_is_not_cut_for_those_that_stall(self):
        # The steady reader has the oldest stream and the most bytes.
        steady = CallerUse(response_bytes=900_000, written_bytes=900_000)
        stalled = [CallerUse(written_bytes=9, unread_since_ms=9)]
        held = self.limits.total_bytes + 1
        for now in range(100, 9_000, 100):
            steady.record_pending(900_000 - now, now)
            stalled[0].record_pending(9, now)
            victim = self._choose([steady, *stalled], held, now)
            self.assertIsNot(victim, steady)
        self.assertIs(victim, stalled[0])

    def test_only_steady_readers_are_cut_over_the_hard_bound_only(self):
        callers = [CallerUse(unread_since_ms=i) for i in range(5)]
        held = self.limits.total_bytes + 1
        self.assertIsNone(self._choose(callers, held, MIN_STALL_MS - 1))
        self.assertIs(self._choose(callers, held, MIN_STALL_MS), callers[0])
        over = int(HARD_FACTOR * self.limits.total_bytes) + 1
        self.assertIs(self._choose(callers, over, 10), callers[0])

    def test_bodies_leave_room_for_responses(self):
        # Bodies that wait for a slow endpoint must not have callers cut.
        total = self.limits.total_bytes
        self.assertTrue(self.limits.admits_body(0, 0, total // 2))
        self.assertFalse(self.limits.admits_body(0, 0, total // 2 + 1))
        self.assertFalse(self.limits.admits_body(total // 2, total // 2, 1))
        self.assertFalse(self.limits.admits_body(total, 0, 1))

    def test_a_deployed_gateway_takes_several_of_the_longest_bodies(self):
        limits = BufferLimits(DEPLOYED_MB)
        longest = 4 << 20
        self.assertTrue(limits.admits_body(4 * longest, 4 * longest, longest))

    def test_the_largest_responses_are_ended_until_the_rest_fits(self):
        # Responses without end grow together; small ones are spared.
        part = self.limits.total_bytes // 3
        kept = [HeldResponse(lambda reason: None, part + i) for i in range(5)]
        small = HeldResponse(lambda reason: None, 1)
        held = sum(response.bytes for response in (*kept, small))
        chosen = self.limits.choose_responses([small, *kept], held)
        self.assertEqual(chosen, kept[4:1:-1])

    def test_responses_are_spared_if_callers_take_the_memory(self):
        kept = HeldResponse(lambda reason: None, self.limits.total_bytes // 3)
        held = 3 * self.limits.total_bytes
        self.assertEqual(self.limits.choose_responses([kept], held), [])
        self.assertEqual(self.limits.choose_responses([], held), [])

    def test_no_response_is_ended_within_the_bound(self):
        kept = HeldResponse(lambda reason: None, self.limits.total_bytes)
        held = kept.bytes
        self.assertEqual(self.limits.choose_responses([kept], held), [])
