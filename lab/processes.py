"""Starts processes on the loopback address and ends just those."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any, TypeVar

import httpx

T = TypeVar("T")

ROOT = pathlib.Path(__file__).parent.parent
WAIT_S = 20.0
POLL_S = 0.02
LOWEST_PORT = 10_240
FIRST_EPHEMERAL_PORT = 32_768

# The ports that were given out. A port is free until the program that it is
# for has started, so a probe alone would give it to a second program.
_given: set[int] = set()


def free_address() -> str:
    """Returns a loopback address whose port is free and never given before.

    The port lies below those that the system gives to connections, so none
    can take it before the program does that the address is for.
    """
    return f"127.0.0.1:{free_ports(1)}"


def free_ports(count: int) -> int:
    """Returns the first of `count` free ports in a row, never given before."""
    while True:
        first = random.randrange(LOWEST_PORT, FIRST_EPHEMERAL_PORT - count)
        ports = range(first, first + count)
        if _given.isdisjoint(ports) and all(map(_is_free, ports)):
            _given.update(ports)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_until(check: Callable[[], T], what: str) -> T:
    """Waits until `check` returns something true, and returns that.

    Raises:
        AssertionError: It did not in `WAIT_S` seconds.
    """
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        with contextlib.suppress(httpx.HTTPError):
            found = check()
            if found:
                return found
        time.sleep(POLL_S)
    raise AssertionError(f"{what}: not within {WAIT_S} s")


class Processes(contextlib.AbstractContextManager["Processes"]):
    """Starts processes and ends just those.

    Args:
        logs: The directory for a log file of each process. Without it the
            logs are dropped, or shown if SHOW_LOGS is set.
    """

    def __init__(self, logs: pathlib.Path | None = None) -> None:
        self._logs = logs
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        env: dict[str, str] | None = None,
    ) -> None:
        """Starts `python -m module arguments` with more environment `env`."""
        environment = dict(os.environ, PYTHONPATH=str(ROOT)) | (env or {})
        with contextlib.ExitStack() as stack:
            stdout: Any = subprocess.DEVNULL
            stderr: Any = subprocess.DEVNULL
            if self._logs is not None:
                path = self._logs / f"{name}.log"
                stdout = stderr = stack.enter_context(path.open("ab"))
            elif os.environ.get("SHOW_LOGS"):
                stderr = None
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *module.split(), *arguments],
                cwd=ROOT,
                env=environment,
                stdout=stdout,
                stderr=stderr,
            )

    def pid(self, name: str) -> int:
        """Returns a process's id."""
        return self._running[name].pid

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self._running.pop(name).wait()

    def status(self, name: str) -> int | None:
        """Returns a process's exit status, or None while it runs."""
        return self._running[name].poll()

    def peak_mb(self, name: str) -> float:
        """Returns the largest memory a process has taken; 0 when it ended."""
        path = pathlib.Path(f"/proc/{self.pid(name)}/status")
        try:
            lines = path.read_text().splitlines()
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        rows = [line for line in lines if line.startswith("VmHWM:")]
        return int(rows[0].split()[1]) / 1024 if rows else 0.0

    def cpu_s(self, name: str) -> float:
        """Returns the processor time that a running process has taken."""
        text = pathlib.Path(f"/proc/{self.pid(name)}/stat").read_text()
        # The name before the last parenthesis may hold spaces.
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def wait(self, name: str) -> int:
        """Waits for a process's end and returns its exit status."""
        return self._running.pop(name).wait(WAIT_S)

    def ended(self) -> dict[str, int]:
        """Returns the exit statuses of the processes that ended unasked."""
        statuses = {name: self.status(name) for name in self._running}
        return {name: x for name, x in statuses.items() if x is not None}

    def __exit__(self, *_: object) -> None:
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
