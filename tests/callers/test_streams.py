"""Tests of generations whose caller disconnects, over fakes.

The clock, the engine and the links are fakes.
"""

from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.admission.permits import Permit
from rhubarbwinch.callers.streams import OpenStreams
from rhubarbwinch.callers.takeover import Takeover
from rhubarbwinch.endpoints.relay import StreamPosition
from rhubarbwinch.links.messages import PermitGrant, PriorityChange, StreamEnd
from rhubarbwinch.membership.members import Member, MemberNews, Members, Role
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import LinkTimeout
from tests import builders
from tests.helpers import GoldTestCase, asynchronous

GRACE_MS = 1000
GENERATION = "1-1-tag~engine-0"


class CallRecorder:
    """A fake of engines and permit clients that records the calls to them."""

    def __init__(self, name):
        self.lines = []
        self._name = name

    def record(self, text):
        self.lines.append(f"{self._name}: {text}")

    async def cancel(self, address, generation):
        self.record(f"engine ends {generation}")

    async def set_priority(self, address, generation, priority):
        self.record(f"engine gives {generation} priority {priority}")

    async def release_permit(self, permit, end, tokens):
        self.record(f"permit released, {end}, {tokens} tokens")

    def remove_permit(self, permit):
        self.record("permit handed over")


class FakeLinks:
    """Fake links that call the given entry's streams; None does not reply."""

    def __init__(self, holder):
        self._holder = holder

    async def call(self, address, message, reply_type, timeout_ms):
        if self._holder is None:
            raise LinkTimeout("silent")
        return await self._holder.hand_over(message)


class EntrySide:
    """One entry with its open streams."""

    def __init__(self, name, clock, incarnation):
        self.recorder = CallRecorder(name)
        self.streams = OpenStreams(
            self.recorder, self.recorder, clock, GRACE_MS
        )
        self.member = Member(
            name, Role.ENTRY, "dc-a", "r", incarnation, "127.0.0.1:1", ""
        )

    def open(self, relayed=5):
        """Opens a stream of which the caller has received `relayed` tokens."""
        grant = PermitGrant("1-1-tag", "engine-0", "127.0.0.1:2")
        permit = Permit(builders.permit_request("1-1-tag"), grant)
        position = StreamPosition(
            GENERATION, next_index=relayed, relayed=relayed
        )
        return self.streams.add(permit, position)

    def takeover(self, other, answers=True):
        """Returns an object that takes over streams from the other entry."""
        members = Members(self.member)
        members.merge(MemberNews(other.member))
        links = FakeLinks(other.streams if answers else None)
        return Takeover(self.streams, links, members, 100)


@asynccontextmanager
async def _two_entries():
    clock = ManualClock()
    first, second = (
        EntrySide("entry-1", clock, 1),
        EntrySide("entry-2", clock, 2),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.streams.run)
        tasks.start_soon(second.streams.run)
        await anyio.wait_all_tasks_blocked()
        yield clock, first, second
        tasks.cancel_scope.cancel()


def _snapshot():
    endpoint = builders.endpoint("engine-0", "127.0.0.1:2")
    return builders.snapshot(builders.pool("vintner", [endpoint]))


class StreamsTest(GoldTestCase):
    """How generations end, for each way a caller can disconnect."""

    @asynchronous
    async def test_each_kind_of_disconnect_matches_the_gold(self):
        text = ""
        for title, session in (
            ("the response is complete", self._finish),
            ("the engine is lost", self._lose_engine),
            ("the caller does not reconnect", self._never_resume),
            (
                "the caller disconnects before the first token",
                self._disconnect_early,
            ),
            ("the caller resumes at the same entry", self._resume_here),
            ("the caller resumes at another entry", self._resume_elsewhere),
            (
                "the caller resumes elsewhere before its first entry notices",
                self._resume_elsewhere_early,
            ),
            (
                "the caller resumes elsewhere, its first entry does not reply",
                self._resume_without_holder,
            ),
            ("a broker changes the priority", self._change_priority),
        ):
            async with _two_entries() as (clock, first, second):
                await session(clock, first, second)
                await clock.advance(3 * GRACE_MS)
                lines = first.recorder.lines + second.recorder.lines
                disconnected_count = (
                    first.streams.disconnected_count
                    + second.streams.disconnected_count
                )
            text += (
                "\n".join([f"# {title}", *lines, f"kept {disconnected_count}"])
                + "\n"
            )
        self.assert_gold("streams_left", text)

    async def _finish(self, clock, first, second):
        await first.streams.close(first.open(), StreamEnd.FINISHED)

    async def _lose_engine(self, clock, first, second):
        await first.streams.close(first.open(), StreamEnd.ENDPOINT_LOST)

    async def _never_resume(self, clock, first, second):
        await first.streams.keep_for_resume(first.open())
        await clock.advance(GRACE_MS - 100)
        first.recorder.record("still kept")

    async def _disconnect_early(self, clock, first, second):
        await first.streams.keep_for_resume(first.open(relayed=0))
        first.recorder.record("without a wait")

    async def _resume_here(self, clock, first, second):
        old = first.open()
        await first.streams.keep_for_resume(old)
        takeover = first.takeover(second)
        await takeover.acquire_permit(GENERATION, _snapshot())
        again = first.open(relayed=9)
        await clock.advance(2 * GRACE_MS)
        await first.streams.close(old, StreamEnd.CANCELLED)
        first.recorder.record("the resumed stream ends")
        await first.streams.close(again, StreamEnd.FINISHED)

    async def _resume_elsewhere(self, clock, first, second):
        await first.streams.keep_for_resume(first.open())
        permit = await second.takeover(first).acquire_permit(
            GENERATION, _snapshot()
        )
        request, grant = permit.request, permit.grant
        second.recorder.record(f"holds {request.request_id} as {request.entry}")
        second.recorder.record(f"reads at {grant.endpoint} {grant.address}")

    async def _resume_elsewhere_early(self, clock, first, second):
        stream = first.open()
        await second.takeover(first).acquire_permit(GENERATION, _snapshot())
        await first.streams.keep_for_resume(stream)

    async def _resume_without_holder(self, clock, first, second):
        takeover = second.takeover(first, answers=False)
        permit = await takeover.acquire_permit(GENERATION, _snapshot())
        second.recorder.record(f"permit {permit}")

    async def _change_priority(self, clock, first, second):
        first.open()
        for name in ("1-1-tag", "other"):
            change = PriorityChange(name, "engine-0", 7)
            await first.streams.change_priority(change)
