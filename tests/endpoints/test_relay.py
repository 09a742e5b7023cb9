"""Tests that a relay passes each token on once and in order despite faults."""

import random
from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.endpoints.relay import Relay, StreamPosition
from rhubarbwinch.endpoints.retries import Backoff
from rhubarbwinch.http.sse import EventSplitter, join
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import EndpointError, GenerationLostError
from tests import builders
from tests.helpers import GoldTestCase, asynchronous

GENERATION = "1-1-tag~engine-0"
SILENCE = EndpointError("silence", sent=True)
CUT = EndpointError("cut", sent=True)
UNREACHED = EndpointError("no connection", sent=False)
GONE = GenerationLostError("status 404")


class ScriptedEngine:
    """Plays one list of steps for each attempt to open the stream.

    A step is the index of an event, bytes, or an error to raise. A nested
    list of steps arrives in one read. If the first step is an error, the
    attempt to open the stream fails.
    """

    def __init__(self, *openings):
        self.lines = []
        self._openings = list(openings)

    def start(self, index):
        self.lines.append("start")
        return self._play()

    def resume(self, index):
        self.lines.append(f"resume from {index}")
        return self._play()

    @asynccontextmanager
    async def _play(self):
        steps = self._openings.pop(0) if self._openings else [UNREACHED]
        if isinstance(steps[0], EndpointError):
            raise steps[0]
        yield self._stream(steps)

    async def _stream(self, steps):
        splitter = EventSplitter()
        for step in steps:
            if isinstance(step, EndpointError):
                raise step
            parts = step if isinstance(step, list) else [step]
            data = b"".join(
                p
                if isinstance(p, bytes)
                else builders.token_event(GENERATION, p)
                for p in parts
            )
            events = splitter.feed(data)
            if events:
                yield events


LAST = builders.token_event(GENERATION, 3, last=True)
DONE = b"data: [DONE]\n\n"
TAIL = [3, LAST, DONE]
FOREIGN = builders.token_event("2-1-tag~engine-0", 2)

SCENARIOS = [
    ("no fault", 0, [[0, 1, 2, LAST, DONE]]),
    ("three tokens in one read", 0, [[[0, 1, 2], [LAST, DONE]]]),
    (
        "an event in two reads",
        0,
        [
            [
                0,
                b"id: " + GENERATION.encode(),
                b':1\ndata: {"choices":[{"finish_reason":null}]}\n\n',
                2,
                LAST,
                DONE,
            ]
        ],
    ),
    (
        "line ends of two bytes and comments",
        0,
        [
            [
                b": ping\r\n\r\n",
                builders.token_event(GENERATION, 0).replace(b"\n", b"\r\n"),
                1,
                2,
                LAST,
                DONE,
            ]
        ],
    ),
    ("the link is cut", 0, [[0, 1, CUT], [2, LAST, DONE]]),
    ("the link falls silent", 0, [[0, 1, SILENCE], [2, LAST, DONE]]),
    ("the stream ends without its mark", 0, [[0, 1], [2, LAST, DONE]]),
    ("duplicates", 0, [[0, 0, 1, 0, 1, 2, 2, LAST, LAST, DONE]]),
    ("a resume that starts too early", 0, [[0, 1, CUT], [0, 1, 2, LAST, DONE]]),
    ("a gap", 0, [[0, 2, LAST, DONE], [1, 2, LAST, DONE]]),
    (
        "a gap after good events of the same read",
        0,
        [[[0, 1, LAST, DONE]], [2, LAST, DONE]],
    ),
    ("a foreign generation", 0, [[0, 1, FOREIGN, 2, LAST, DONE]]),
    ("a foreign generation before the first token", 0, [[FOREIGN, 0]]),
    ("the mark of the end comes too early", 0, [[0, 1, DONE], [2, LAST, DONE]]),
    (
        "the engine reports a failure",
        0,
        [[0, b'event: error\ndata: {"error":"memory"}\n\n']],
    ),
    ("the engine dies before the first token", 0, [[CUT, 0]]),
    ("the engine dies after its head", 0, [[b": ping\n\n", CUT], [UNREACHED]]),
    (
        "the engine is slow to its first token",
        0,
        [
            [b": ping\n\n", SILENCE],
            [b": ping\n\n", SILENCE],
            [0, 1, 2, LAST, DONE],
        ],
    ),
    ("the engine dies after a token", 0, [[0, 1, CUT]]),
    ("the engine forgets the generation", 0, [[0, 1, CUT], [GONE]]),
    (
        "cut twice, the second time without progress",
        0,
        [[0, CUT], [1, CUT], [UNREACHED], [2, LAST, DONE]],
    ),
    (
        "cut after the last token, then forgotten",
        0,
        [[0, 1, 2, LAST, CUT], [GONE]],
    ),
    ("a caller resumes", 2, [[1, 2, LAST, DONE]]),
    ("a caller resumes after the last token", 4, [[LAST, DONE]]),
    ("a caller resumes what is gone", 2, [[GONE]]),
]


class RelayTest(GoldTestCase):
    """A relay that reads from a scripted engine."""

    @asynchronous
    async def test_each_stream_fault_has_the_expected_outcome(self):
        text = ""
        for title, first, openings in SCENARIOS:
            text += f"# {title}\n{await _play(first, openings)}"
        self.assert_gold("relay", text)

    @asynchronous
    async def test_progress_resets_the_limit_of_resumes(self):
        openings = [[i, CUT] for i in range(40)]
        openings += [[builders.token_event(GENERATION, 40, last=True), DONE]]
        self.assertIn("resumes 40\nend whole", await _play(0, openings))


async def _play(first, openings):
    """Runs a relay and returns a text record of its events."""
    engine = ScriptedEngine(*openings)
    position = StreamPosition(GENERATION, first)
    clock = ManualClock()
    start = engine.resume if first else engine.start
    backoff = Backoff(random.Random(1))
    relay = Relay(position, start, engine.resume, clock, backoff)
    ends = []

    async def read():
        try:
            async for batch in relay.events():
                engine.lines.append("passed " + _indexes(join(batch)))
            ends.append("whole")
        except EndpointError as error:
            ends.append(f"{error}; sent {error.sent}")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        while not ends:
            await anyio.wait_all_tasks_blocked()
            await clock.advance(1000)
    counts = f"duplicates {position.duplicates} resumes {position.resumes}"
    return "\n".join([*engine.lines, counts, f"end {ends[0]}"]) + "\n"


def _indexes(data):
    """Returns the indexes of the events in some bytes."""
    batch = EventSplitter().feed(data)
    return " ".join("done" if e.is_done else str(e.id.index) for e in batch)
