"""Starts child processes on the loopback address and stops them."""

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

# Ports that were assigned. A port stays free until its program has started, so
# a probe alone could assign it to two programs.
_assigned_ports: set[int] = set()


def free_address() -> str:
    """Returns a loopback address with a free port that was not assigned before.

    The port is below the range of ephemeral ports, so no outgoing connection
    can use it before the program listens.
    """
    return f"127.0.0.1:{free_ports(1)}"


def free_ports(count: int) -> int:
    """Returns the first of `count` consecutive free, unassigned ports."""
    while True:
        first = random.randrange(LOWEST_PORT, FIRST_EPHEMERAL_PORT - count)
        ports = range(first, first + count)
        if _assigned_ports.isdisjoint(ports) and all(map(_is_free, ports)):
            _assigned_ports.update(ports)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_until(check: Callable[[], T], what: str) -> T:
    """Waits until `check` returns a true value and returns that value.

    Raises:
        AssertionError: `check` returned no true value for `WAIT_S` seconds.
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
    """Starts processes and kills them on exit from the context.

    Args:
        logs: The directory for the log file of each process. Without it the
            logs are discarded, or stderr is inherited if the environment
            variable SHOW_LOGS is set.
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
        """Starts `python -m module arguments` with `env` in the environment."""
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
        """Returns the id of a process."""
        return self._running[name].pid

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self.signal(name, signal.SIGKILL)
        self._running.pop(name).wait()

    def status(self, name: str) -> int | None:
        """Returns the exit status of a process, or None while it runs."""
        return self._running[name].poll()

    def peak_mb(self, name: str) -> float:
        """Returns the peak resident memory in MiB, or 0 after the exit."""
        path = pathlib.Path(f"/proc/{self.pid(name)}/status")
        try:
            lines = path.read_text().splitlines()
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        rows = [line for line in lines if line.startswith("VmHWM:")]
        return int(rows[0].split()[1]) / 1024 if rows else 0.0

    def cpu_s(self, name: str) -> float:
        """Returns the processor time of a running process in seconds."""
        text = pathlib.Path(f"/proc/{self.pid(name)}/stat").read_text()
        # The process name before the last parenthesis may contain spaces.
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def wait(self, name: str) -> int:
        """Waits for the exit of a process and returns its exit status."""
        return self._running.pop(name).wait(WAIT_S)

    def unexpected_exits(self) -> dict[str, int]:
        """Returns the statuses of processes that exited on their own."""
        statuses = {name: self.status(name) for name in self._running}
        return {name: x for name, x in statuses.items() if x is not None}

    def __exit__(self, *_: object) -> None:
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
