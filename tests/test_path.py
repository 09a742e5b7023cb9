"""End-to-end tests of the request path through separate processes."""

import json

import httpx

from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase


def _describe(title, response):
    """Returns a response as text, without the parts that differ per run."""
    lines = [f"# {title}", f"status {response.status_code}"]
    for name in ("content-type", "x-verdict", "retry-after"):
        if name in response.headers:
            lines.append(f"{name}: {response.headers[name]}")
    return "\n".join(lines) + "\n"


def _events(response):
    """Returns index and token number of each event, one line per event."""
    lines = []
    generation_tags = set()
    for block in response.text.strip().split("\n\n"):
        if block == "data: [DONE]":
            lines.append("done")
            continue
        head, data = block.split("\n")
        text = json.loads(data.removeprefix("data: "))["choices"][0]["text"]
        generation_tag, number = text.strip().split(".")
        generation_tags.add(generation_tag)
        lines.append(f"index {head.rpartition(':')[2]} token {number}")
    return "\n".join([*lines, f"generations {len(generation_tags)}"]) + "\n"


class PathTest(GoldTestCase):
    """Requests that pass through entry, broker and engine."""

    def test_a_session_through_separate_processes_matches_the_golden_file(self):
        with Fleet(entries=2, engines=2) as fleet:
            url = f"http://{fleet.entries[0]}"
            client = httpx.Client(headers=AUTHORIZATION, timeout=20)
            streamed = client.post(
                f"{url}/v1/completions",
                json={"model": "chat", "prompt": "len=6", "stream": True},
            )
            complete = client.post(
                f"{url}/v1/chat/completions",
                json={
                    "model": "chat",
                    "messages": [{"role": "user", "content": "len=4"}],
                },
            )
            resumed = client.post(
                f"http://{fleet.entries[1]}/v1/completions",
                headers={"Last-Event-ID": f"{_generation(streamed)}:2"},
                json={},
            )
            plain = client.post(f"{url}/services/booking/slots", json={})
            unknown = client.post(
                f"{url}/v1/completions", json={"model": "none", "prompt": ""}
            )
            unauthenticated = httpx.post(f"{url}/v1/completions", json={})
            text = (
                _describe("streamed", streamed)
                + _events(streamed)
                + _describe("whole", complete)
                + f"tokens {complete.json()['usage']['completion_tokens']}\n"
                + _describe("resumed at another entry", resumed)
                + _events(resumed)
                + _describe("plain service", plain)
                + f"call {plain.json()['number']}\n"
                + _describe("unknown model", unknown)
                + _describe("no key", unauthenticated)
            )
        self.assert_gold("path", text)


def _generation(response):
    """Returns the generation id of a streamed response."""
    return response.text.split("\n")[0].removeprefix("id: ").rpartition(":")[0]
