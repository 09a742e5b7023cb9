"""Tests of seeded fault-injection runs and of their checker."""

import unittest

import anyio

from lab.seeded.__main__ import describe
from lab.seeded.check import find_violations
from lab.seeded.records import Attempt, End, RequestKind, Run, RunRecords
from lab.seeded.run import run_seed
from rhubarbwinch.http.sse import DONE_EVENT

# With seed 31 a request got no response, because a wait used a different clock.
# With seed 10 a pool refused all work, because of a prediction that no engine
# could meet.
SEEDS = (1, 10, 31)


def _stream(*tokens, generation="g", **fields):
    """Returns an attempt that received tokens with these indexes."""
    raw = [b"id: %s:%d\n\n" % (generation.encode(), i) for i in tokens]
    return Attempt(
        1, RequestKind.STREAM, "m1", "", "entry", events=raw, **fields
    )


def _violations_of(attempts, runs=()):
    return find_violations(RunRecords(list(attempts), list(runs)))


class SeededTest(unittest.TestCase):
    """Complete runs in one process with a manual clock."""

    def test_no_seed_of_the_list_violates_a_guarantee(self):
        for seed in SEEDS:
            report = anyio.run(run_seed, seed)
            self.assertEqual(report.violations, [], describe(report))
            self.assertGreater(report.fault_count, 10)


class CheckTest(unittest.TestCase):
    """The violations that are found in records of one or two attempts."""

    def test_good_records_pass(self):
        run = Run("e", "m1", "", 3, "g")
        cut, rest = _stream(0, 1), _stream(2)
        rest.events.append(DONE_EVENT)
        self.assertEqual(_violations_of([cut, rest], [run]), [])

    def test_lost_duplicated_reordered_and_mixed_tokens_are_found(self):
        for indexes in ((0, 2), (0, 0, 1), (1, 0), (1, 2)):
            self.assertTrue(_violations_of([_stream(*indexes)]), indexes)
        spliced = [_stream(0, 1), _stream(2, generation="h")]
        self.assertTrue(_violations_of(spliced))

    def test_a_stream_that_ends_early_is_found(self):
        early = _stream(0, 1)
        early.events.append(DONE_EVENT)
        self.assertTrue(_violations_of([early], [Run("e", "m1", "", 3, "g")]))

    def test_a_false_not_run_verdict_is_found(self):
        refused = Attempt(
            1, RequestKind.WHOLE, "m1", "", "entry", End.REFUSED, 429, "not-run"
        )
        self.assertEqual(_violations_of([refused]), [])
        self.assertTrue(_violations_of([refused], [Run("e", "m1", "", 3, "g")]))

    def test_a_second_run_and_a_wrong_outcome_are_found(self):
        answered = Attempt(
            1, RequestKind.BOOKING, "m1", "k", "entry", End.ANSWERED, 200
        )
        answered.body = b'{"number":1,"key":"k"}'
        once = [Run("d", "m1", "k", 1)]
        self.assertEqual(_violations_of([answered], once), [])
        self.assertTrue(
            _violations_of([answered], [*once, Run("d", "m1", "k", 2)])
        )
        self.assertTrue(_violations_of([answered], [Run("d", "m1", "k", 2)]))

    def test_another_callers_response_is_found(self):
        wrong = Attempt(
            1, RequestKind.LOOKUP, "m1", "", "entry", End.ANSWERED, 200
        )
        wrong.body = b'{"marker":"m2"}'
        self.assertTrue(_violations_of([wrong]))
