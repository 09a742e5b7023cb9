"""Tests that the audit counts each token once, whatever fails."""

import attrs

from rhubarbwinch.claims import audit
from rhubarbwinch.endpoints.metering import METER_PERIOD_MS, Meter
from rhubarbwinch.endpoints.relay import StreamPosition
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import SettingError
from rhubarbwinch.stores.memstore import MemoryStore
from tests.helpers import GoldTestCase, asynchronous

FLUSH_MS = 5_000


@attrs.define
class Ledger:
    """Meters of several entries over one store, and the listed totals."""

    clock: ManualClock
    store: object
    lines: list = attrs.field(factory=list)
    meters: list = attrs.field(factory=list)

    def add_entry(self):
        number = len(self.meters)
        name, incarnation = f"entry-{number}", 0xA0 + number
        meter = Meter(self.store, self.clock, name, incarnation, FLUSH_MS)
        self.meters.append(meter)
        return meter

    def stream(self, entry, number, tokens, account="acme"):
        """Starts a stream at an entry and relays tokens."""
        generation = f"{0xA0 + entry:x}-{number:x}-tag~engine-0"
        position = StreamPosition(generation, tokens)
        self.meters[entry].start(position, account, "chat")
        return position

    def resume(self, entry, position, tokens):
        """Resumes a stream at another entry."""
        resumed = StreamPosition(position.generation, tokens)
        self.meters[entry].start(resumed, "acme", "chat")
        return resumed

    async def show(self, title, hours=1, first=0):
        """Appends a line with the totals that the audit lists."""
        start = 1_700_000_000_000 // METER_PERIOD_MS * METER_PERIOD_MS
        start += first * METER_PERIOD_MS
        period = audit.Period(start, start + hours * METER_PERIOD_MS)
        rows = await audit.list_tokens(self.store, period)
        found = [f"{r.account} {r.generations}/{r.tokens}" for r in rows]
        self.lines.append(f"{title}: {', '.join(found) or 'nothing'}")


def _ledger(entries=2):
    clock = ManualClock()
    ledger = Ledger(clock, MemoryStore(clock))
    for _ in range(entries):
        ledger.add_entry()
    return ledger


class AuditTest(GoldTestCase):
    """Streams counted by their entries and listed by the audit."""

    @asynchronous
    async def test_tokens_are_listed_once_after_any_failure(self):
        ledger = _ledger()
        first, second = ledger.meters
        for number, tokens in ((1, 10), (2, 20)):
            done = ledger.stream(0, number, tokens)
            first.end(done.generation, finished=True)
        ledger.store.faults.lost_responses = 1
        await first.flush()
        await first.flush()
        await first.flush()
        await ledger.show("answer lost, written again")

        ledger.store.faults.down = True
        done = ledger.stream(0, 3, 5, account="other")
        first.end(done.generation, finished=True)
        await first.flush()
        ledger.store.faults.down = False
        await first.flush()
        await ledger.show("after an outage")

        moved = ledger.stream(0, 4, 4)
        first.end(moved.generation, finished=False)
        resumed = ledger.resume(1, moved, 9)
        second.end(resumed.generation, finished=True)
        await first.flush()
        await second.flush()
        await ledger.show("moved at 4, ended elsewhere at 9")

        read_again = ledger.resume(1, done, 5)
        second.end(read_again.generation, finished=True)
        await second.flush()
        await ledger.show("read again elsewhere")

        ledger.stream(0, 5, 6)
        await first.flush()
        await ledger.show("entry-0 died at 6, written")
        lost = ledger.resume(1, StreamPosition("a0-5-tag~engine-0"), 30)
        second.end(lost.generation, finished=True)
        await second.flush()
        await ledger.show("resumed elsewhere to 30")

        ledger.stream(0, 6, 7)
        await ledger.show("entry-0 died before the write of 7 more")

        ledger.stream(1, 1, 40)
        await second.flush()
        await ledger.show("open at 40")
        await ledger.clock.advance(METER_PERIOD_MS)
        ledger.stream(1, 1, 44)
        await second.flush()
        second.end("a1-1-tag~engine-0", finished=True)
        await second.flush()
        await ledger.show("ended in the next hour: first hour")
        await ledger.show("ended in the next hour: second hour", first=1)
        await ledger.show("both hours", hours=2)
        self.assert_gold("audit-tokens", "\n".join(ledger.lines) + "\n")

    def test_a_period_must_be_whole_hours(self):
        found = audit.parse_period("2026-12-03T14", "2026-12-03T16:00+00:00")
        self.assertEqual(found.end_ms - found.start_ms, 2 * METER_PERIOD_MS)
        for end in ("2026-12-03T14", "2026-12-03T14:30", "soon"):
            with self.assertRaises(SettingError):
                audit.parse_period("2026-12-03T14", end)
