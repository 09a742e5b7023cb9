"""Runs a small deployment of separate processes on the loopback address."""

import json

import httpx

from tests import builders
from tests.helpers import ROOT, Processes, free_address, wait_until

AUTHORIZATION = {"authorization": f"Bearer {builders.API_KEY}"}


class Fleet(Processes):
    """Stand-ins, a control, a broker and entries; a context manager.

    The processes are started on entering the context.

    Args:
        entries: The number of entries.
        engines: The number of engines.
        speed: How many times faster than real time the engines run.
        control_options: Additional flags of the control.
        logs: The directory for the logs of all processes, or None.
    """

    def __init__(
        self, entries=1, engines=1, speed=20, control_options=(), logs=None
    ):
        super().__init__(logs)
        self.store = free_address()
        self.engines = [free_address() for _ in range(engines)]
        self.service = free_address()
        self.entries = [free_address() for _ in range(entries)]
        self._speed = speed
        self._control_options = control_options
        self.links = {}

    def __enter__(self):
        self.start("store", "lab.standins.kvstore", "--listen", self.store)
        for i, address in enumerate(self.engines):
            self.start_engine(f"engine-{i}", address)
        self.start("service", "lab.standins.service", "--listen", self.service)
        wait_until(lambda: httpx.get(f"http://{self.store}/counts"), "store")
        self.start_role(
            "control", "control-0", free_address(), *self._control_options
        )
        self.start_role("broker", "broker-0", free_address())
        for i, address in enumerate(self.entries):
            self.start_role("entry", f"entry-{i}", address)
        self.apply(self.records())
        for address in self.entries:
            self.wait_ready(address)
        return self

    def start_engine(self, name, address):
        """Starts an engine."""
        options = ("--listen", address, "--speed", str(self._speed))
        self.start(name, "lab.standins.engine", *options)

    def start_role(self, role, name, http, *options):
        """Starts a program: an entry, a broker or a control."""
        self.links[name] = free_address()
        arguments = ["--name", name, "--link", self.links[name], "--http", http]
        arguments += ["--store", self.store, "--data-center", "dc-a"]
        self.start(name, f"rhubarbwinch {role}", *arguments, *options)

    def add_entry(self, name):
        """Starts an additional entry and returns its address."""
        address = free_address()
        self.start_role("entry", name, address)
        self.wait_ready(address)
        return address

    def records(self):
        """Returns the records of the deployment."""
        engines = [
            builders.endpoint(f"engine-{i}", address)
            for i, address in enumerate(self.engines)
        ]
        service_endpoints = [builders.endpoint("desk", self.service)]
        return [
            builders.model(),
            builders.pool("vintner", engines),
            builders.pool("bookings", service_endpoints),
            builders.generate_service(),
            builders.plain_service(),
            builders.account(),
        ]

    def apply(self, items):
        """Applies records with rhubarbwinchctl; returns its exit status."""
        path = ROOT / ".work" / f"records-{self.store}.json"
        path.parent.mkdir(exist_ok=True)
        rows = [json.loads(item.to_bytes()) for item in items]
        path.write_text(json.dumps(rows))
        return self.ctl("apply", str(path))

    def ctl(self, *arguments):
        """Runs rhubarbwinchctl and returns its exit status."""
        options = ("--store", self.store, *arguments)
        self.start("ctl", "rhubarbwinch ctl", *options)
        return self.wait("ctl")

    def wait_ready(self, address):
        """Waits until an entry serves a generation.

        For that it needs a configuration and a broker.
        """
        body = {"model": "chat", "prompt": "len=1"}
        url = f"http://{address}/v1/completions"

        def serves():
            answer = httpx.post(url, json=body, headers=AUTHORIZATION)
            return answer.status_code == httpx.codes.OK

        try:
            wait_until(serves, f"entry {address}")
        except AssertionError as error:
            raise AssertionError(
                f"{error}; ended: {self.unexpected_exits()}"
            ) from error
