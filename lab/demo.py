"""Demonstrates two deployments and a stream that survives its entry.

All processes run on the loopback address and are stopped at the end, also
after an interrupt.
"""

import pathlib
import secrets
import signal
import sys
import tempfile
import time
import tomllib
import types
import uuid
from functools import partial

import attrs
import httpx
import orjson

from lab.processes import ROOT, Processes, free_address, wait_until

VMS = 2
TOKENS = 60
KILL_AFTER_TOKENS = 20
ENGINE_SPEED = 0.5
TRACE_ID = "5ca1ab1e" * 4
TIMEOUT_S = 20.0


@attrs.frozen
class Example:
    """An example deployment and the calls that the demo makes to it.

    Attributes:
        name: The name of the file in examples/ without its suffix.
        region: The region of its data centres.
        account: One of its client accounts.
        model: The name of a service for generations.
        plain: The path of a plain call that must not be repeated.
    """

    name: str
    region: str
    account: str
    model: str
    plain: str

    @property
    def headers(self) -> dict[str, str]:
        """The header that authenticates the account."""
        return {"authorization": f"Bearer {self.account}.example"}


EXAMPLES = (
    Example(
        "kielichowa",
        "pl-south",
        "wesele-wroclaw",
        "itinerary",
        "/services/booking/confirmations",
    ),
    Example(
        "kalgoorlie",
        "wa-gold",
        "refinery-one",
        "certificate-draft",
        "/services/bar-registry/certificates",
    ),
)


class Deployment:
    """The stand-ins and programs of an example on loopback addresses.

    Args:
        example: The example.
        processes: Starts the processes.
        directory: The directory for the records with loopback addresses.
    """

    def __init__(
        self, example: Example, processes: Processes, directory: pathlib.Path
    ) -> None:
        self.example = example
        self.store = free_address()
        self.entries = [free_address() for _ in range(VMS)]
        self._processes = processes
        self._records = directory / f"{example.name}.toml"

    def start(self) -> None:
        """Starts all processes and applies the records."""
        start, name = self._processes.start, self.example.name
        listen = ("--listen", self.store)
        start(f"{name}-store", "lab.standins.kvstore", *listen)
        self._start_endpoints()
        counts = f"http://{self.store}/counts"
        wait_until(lambda: httpx.get(counts), "the store")
        start(
            f"{name}-apply",
            "rhubarbwinch ctl",
            *("--store", self.store, "apply", str(self._records)),
        )
        for i in range(VMS):
            self._start_vm(i)
        if self._processes.wait(f"{name}-apply"):
            raise AssertionError("rhubarbwinchctl apply failed")

    def wait_ready(self) -> None:
        """Waits until each entry serves a short generation."""
        for address in self.entries:
            wait_until(partial(self._serves, address), f"entry {address}")

    def _serves(self, address: str) -> bool:
        """Returns whether an entry serves a short generation."""
        body = {"model": self.example.model, "prompt": "len=1"}
        url = f"http://{address}/v1/completions"
        return httpx.post(
            url, json=body, headers=self.example.headers
        ).is_success

    def _start_endpoints(self) -> None:
        """Starts the endpoints and writes the records with their addresses."""
        text = (ROOT / "examples" / f"{self.example.name}.toml").read_text()
        for record in tomllib.loads(text)["record"]:
            for endpoint in record["spec"].get("endpoints", []):
                address = free_address()
                text = text.replace(endpoint["address"], address)
                module, options = "lab.standins.service", ["--listen", address]
                if "-engine-" in endpoint["name"]:
                    module = "lab.standins.engine"
                    options += ["--speed", str(ENGINE_SPEED)]
                self._processes.start(endpoint["name"], module, *options)
        self._records.write_text(text)

    def _start_vm(self, index: int) -> None:
        """Starts the programs of one VM."""
        for role in ("control", "broker", "entry"):
            http = self.entries[index] if role == "entry" else free_address()
            name = f"{self.example.name}-{role}-{index}"
            data_center = f"{self.example.region}-{'abc'[index % 3]}"
            env = {
                "RHUBARBWINCH_NAME": name,
                "RHUBARBWINCH_DATA_CENTER": data_center,
                "RHUBARBWINCH_REGION": self.example.region,
                "RHUBARBWINCH_LINK": free_address(),
                "RHUBARBWINCH_HTTP": http,
                "RHUBARBWINCH_STORE": self.store,
                "RHUBARBWINCH_LOG_FORMAT": "json",
                "RHUBARBWINCH_TRACES": "log",
            }
            if role == "entry":
                env["RHUBARBWINCH_STREAM_SECRET"] = "for the demo only"
            self._processes.start(name, f"rhubarbwinch {role}", env=env)


@attrs.define
class StreamReader:
    """The state of a caller that reads a stream.

    Attributes:
        last_id: The id of the last event.
        indexes: The index of each token in order of receipt.
        texts: The text of each token.
        done: Whether the final event was received.
    """

    last_id: str = ""
    indexes: list[int] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)
    done: bool = False

    def parse_line(self, line: str) -> None:
        """Parses one line of an event stream and prints the token's text."""
        if line.startswith("id: "):
            self.last_id = line.removeprefix("id: ")
        elif line == "data: [DONE]":
            self.done = True
        elif line.startswith("data: "):
            data = orjson.loads(line.removeprefix("data: "))
            text = data["choices"][0]["text"]
            self.indexes.append(int(self.last_id.rpartition(":")[2]))
            self.texts.append(text)
            sys.stdout.write(text)
            sys.stdout.flush()


def _print_heading(text: str) -> None:
    sys.stdout.write(f"\n== {text}\n")
    sys.stdout.flush()


def _resume_after_entry_loss(
    deployment: Deployment, processes: Processes
) -> None:
    """Kills an entry during a stream and resumes at the other entry.

    Raises:
        AssertionError: A token was lost, repeated or from another generation.
    """
    example, reader = deployment.example, StreamReader()
    body = {
        "model": example.model,
        "prompt": f"len={TOKENS}",
        "stream": True,
    }
    _print_heading(f"{example.name}: a stream of {TOKENS} tokens by entry 0")
    try:
        _read_stream(
            deployment.entries[0], example.headers, body, reader, processes
        )
    except httpx.HTTPError:
        _print_heading(
            f"entry 0 is killed; entry 1 resumes after {reader.last_id}"
        )
    headers = example.headers | {"last-event-id": reader.last_id}
    _read_stream(deployment.entries[1], headers, body, reader, None)
    is_complete = reader.indexes == list(range(TOKENS)) and reader.done
    generations = {text.partition(".")[0] for text in reader.texts}
    if not is_complete or len(generations) != 1:
        raise AssertionError(f"tokens {reader.indexes} of {generations}")
    _print_heading(
        f"{TOKENS} tokens came, each once and in order, of one generation"
    )


def _read_stream(
    address: str,
    headers: dict[str, str],
    body: dict[str, object],
    reader: StreamReader,
    processes: Processes | None,
) -> None:
    """Reads a stream; kills entry 0 after some tokens if given `processes`."""
    url = f"http://{address}/v1/completions"
    with httpx.stream(
        "POST", url, json=body, headers=headers, timeout=TIMEOUT_S
    ) as response:
        if not response.is_success:
            raise AssertionError(response.read().decode())
        for line in response.iter_lines():
            reader.parse_line(line)
            if processes is not None and len(reader.texts) == KILL_AFTER_TOKENS:
                processes.kill(f"{EXAMPLES[0].name}-entry-0")
                processes = None


def _show_plain_call(deployment: Deployment) -> None:
    """Makes a call that must not be repeated, with an idempotency key."""
    example = deployment.example
    headers = example.headers | {
        "idempotency-key": _uuid7(),
        "traceparent": f"00-{TRACE_ID}-{'ab' * 8}-01",
    }
    url = f"http://{deployment.entries[1]}{example.plain}"
    _print_heading(f"{example.name}: POST {example.plain}")
    response = httpx.post(url, json={}, headers=headers, timeout=TIMEOUT_S)
    sys.stdout.write(f"{response.status_code} {response.text}\n")
    if not response.is_success:
        raise AssertionError("the plain call failed")


def _uuid7() -> str:
    """Returns a new UUID of version 7."""
    value = time.time_ns() // 1_000_000 << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def _show_trace(logs: pathlib.Path) -> None:
    """Prints the spans of the plain call, read from the logs."""
    spans = wait_until(lambda: _find_spans(logs), "the trace")
    _print_heading(f"the trace {TRACE_ID}")
    ids = {span["span"] for span in spans}
    roots = [span for span in spans if span["parent"] not in ids]
    for root in roots:
        _print_span(root, spans, 0)


def _find_spans(logs: pathlib.Path) -> list[dict[str, object]]:
    found = []
    for path in sorted(logs.glob("*.log")):
        for line in path.read_bytes().splitlines():
            if line.startswith(b"{") and TRACE_ID.encode() in line:
                logged = orjson.loads(line)
                span = logged["fields"] | {"process": logged["process"]}
                found.append(span)
    hops = {span.get("hop") for span in found}
    return found if {"entry", "permit", "queue", "endpoint"} <= hops else []


def _print_span(
    span: dict[str, object], spans: list[dict[str, object]], depth: int
) -> None:
    name = "  " * depth + str(span["hop"])
    sys.stdout.write(f"{name:<20}{span['ms']:>9} ms  {span['process']}\n")
    children = [s for s in spans if s["parent"] == span["span"]]
    for child in sorted(children, key=lambda s: str(s["start_ms"])):
        _print_span(child, spans, depth + 1)


def _interrupt(number: int, _: types.FrameType | None) -> None:
    """Raises an exception for a signal, so that all processes are stopped."""
    raise KeyboardInterrupt(f"signal {number}")


def main() -> None:
    """Runs the demo; a failed check raises an exception."""
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        _run()
    except KeyboardInterrupt as error:
        sys.exit(f"interrupted: {error}")
    _print_heading("done; every process has been ended")


def _run() -> None:
    with (
        tempfile.TemporaryDirectory() as name,
        Processes(pathlib.Path(name)) as processes,
    ):
        directory = pathlib.Path(name)
        deployments = [Deployment(e, processes, directory) for e in EXAMPLES]
        for deployment in deployments:
            _print_heading(f"starting {deployment.example.name}: {VMS} VMs")
            deployment.start()
        for deployment in deployments:
            deployment.wait_ready()
        _resume_after_entry_loss(deployments[0], processes)
        _show_plain_call(deployments[1])
        _show_trace(directory)


if __name__ == "__main__":
    main()
