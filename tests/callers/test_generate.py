"""Tests of streams through separate processes that are killed or paused."""

import json
import signal

import httpx

from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase, wait_until

LENGTH = 60
PARTIAL_TOKENS = 10
REQUEST_COUNT = 8


class StreamReader:
    """A caller that reads one stream, over several connections.

    Args:
        fleet: The deployment.
        entry: The index of the entry to connect to first.
        length: The number of tokens to request.
    """

    def __init__(self, fleet, entry=0, length=LENGTH):
        self.indexes = []
        self.tokens = []
        self.tags = set()
        self.last_id = ""
        self.end = "cut"
        self.lines = []
        self._fleet = fleet
        self._entry = entry
        self._prompt = f"len={length}"
        self._context = None

    def open(self):
        """Connects; resumes the stream if an event has been read."""
        headers = dict(AUTHORIZATION)
        body = {"model": "chat", "prompt": self._prompt, "stream": True}
        if self.last_id:
            headers["Last-Event-ID"] = self.last_id
            body = {}
        url = f"http://{self._fleet.entries[self._entry]}/v1/completions"
        self._client = httpx.Client(timeout=20)
        self._context = self._client.stream(
            "POST", url, json=body, headers=headers
        )
        response = self._context.__enter__()
        self._events = _split(response)
        return self

    def resume_at(self, entry):
        """Resumes at another entry."""
        self._client.close()
        self._entry = entry
        return self.open()

    def read(self, count=None):
        """Reads up to `count` events, or to the end of the stream."""
        try:
            for event in self._events:
                self._record(event)
                if len(self.indexes) == count:
                    break
        except httpx.TransportError:
            self.end = "cut"
        return self

    def _record(self, event):
        if event == "data: [DONE]":
            self.end = "done"
        elif event.startswith("event: error"):
            problem = json.loads(event.partition("data: ")[2])
            kind = problem["type"].rpartition(":")[2]
            self.end = f"error {kind}, verdict {problem['verdict']}"
        else:
            head, data = event.split("\n")
            self.last_id = head.removeprefix("id: ")
            text = json.loads(data.removeprefix("data: "))["choices"][0]["text"]
            tag, number = text.strip().split(".")
            self.tags.add(tag)
            self.tokens.append(int(number))
            self.indexes.append(int(self.last_id.rpartition(":")[2]))

    @property
    def engine(self):
        """The name of the engine that runs the stream."""
        return self.last_id.rpartition(":")[0].partition("~")[2]

    def describe(self, title, length=LENGTH):
        """Returns what was read as text that is the same in each run."""
        expected = list(range(len(self.tokens)))
        in_order = self.tokens == expected and self.indexes == expected
        count = "all" if len(self.tokens) == length else "some"
        if not self.tokens:
            count = "none"
        return (
            f"# {title}\ntokens {count}, "
            f"{'once and in order' if in_order else self.indexes}, "
            f"generations {len(self.tags)}, end {self.end}\n"
        )


def _split(response):
    """Yields the events of a response."""
    rest = ""
    for text in response.iter_text():
        *events, rest = (rest + text).split("\n\n")
        yield from events


class GenerateTest(GoldTestCase):
    """Streams while connections, engines, entries and brokers fail."""

    def test_streams_that_lose_their_link_or_engine_match_the_gold(self):
        text = ""
        with Fleet(entries=1, engines=2, speed=4) as fleet:
            for fault in (
                "duplicate_at",
                "gap_at",
                "cut_at",
                "done_at",
                "freeze_at",
                "foreign_at",
            ):
                _set_faults(fleet, {fault: PARTIAL_TOKENS})
                text += StreamReader(fleet).open().read().describe(fault)
                _set_faults(fleet, {fault: None})
            url = f"http://{fleet.engines[0]}/faults"
            httpx.post(url, json={"refuse": 3})
            text += _describe_requests("one engine refuses with 503", fleet)
            # Refusals that no request has met would meet later ones.
            httpx.post(url, json={"refuse": 0})
            text += _describe_logs(fleet)
            text += self._lose_engines(fleet)
        self.assert_gold("streams_engines", text)

    def _lose_engines(self, fleet):
        """Kills a stream's engine, then sends requests while it is down."""
        reader = StreamReader(fleet, length=4000).open().read(PARTIAL_TOKENS)
        fleet.kill(reader.engine)
        reader.read()
        text = reader.describe("engine killed after the first token", 4000)
        return text + _describe_requests("engine gone before the start", fleet)

    def test_streams_that_lose_their_entry_or_broker_match_the_gold(self):
        length = 300
        with Fleet(entries=2, engines=2, speed=2) as fleet:
            moved = StreamReader(fleet, 0, length).open().read(PARTIAL_TOKENS)
            moved.resume_at(1).read()
            text = moved.describe("the caller moves to another entry", length)
            frozen = StreamReader(fleet, 1, length).open().read(PARTIAL_TOKENS)
            fleet.signal("broker-0", signal.SIGSTOP)
            frozen.read()
            fleet.signal("broker-0", signal.SIGCONT)
            text += frozen.describe("broker frozen", length)
            fleet.wait_ready(fleet.entries[0])
            killed = StreamReader(fleet, 0, length).open().read(PARTIAL_TOKENS)
            lost = StreamReader(fleet, 1, length).open().read(PARTIAL_TOKENS)
            fleet.kill("broker-0")
            killed.read()
            text += killed.describe("broker killed", length)
            fleet.kill("entry-1")
            lost.read()
            lost.resume_at(0).read()
            text += lost.describe("broker and entry killed", length)
        self.assert_gold("streams_entries", text)


def _set_faults(fleet, faults):
    for address in fleet.engines:
        httpx.post(f"http://{address}/faults", json=faults)


def _describe_requests(title, fleet):
    """Returns how many of `REQUEST_COUNT` requests got a complete stream."""
    whole = 0
    for _ in range(REQUEST_COUNT):
        whole += StreamReader(fleet).open().read().end == "done"
    return f"# {title}\nwhole {whole} of {REQUEST_COUNT}\n"


def _describe_logs(fleet):
    """Returns how many generations the engines ran in the fault session."""

    def count():
        logs = [httpx.get(f"http://{a}/log").json() for a in fleet.engines]
        wanted = [
            line for log in logs for line in log if line.get("tokens") == LENGTH
        ]
        return len(wanted)

    # One generation for each of the six faults, and one for each of the
    # `REQUEST_COUNT` requests, some of which an engine first refused.
    wait_until(lambda: count() >= 6 + REQUEST_COUNT, "the engines' logs")
    return f"# the engines' logs\ngenerations started {count()}\n"
