"""Running tests: coroutines, golden files and separate processes."""

import contextlib
import functools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import unittest

import anyio
import httpx

ROOT = pathlib.Path(__file__).parent.parent
GOLD = pathlib.Path(__file__).parent / "gold"
WAIT_S = 20.0


def asynchronous(test):
    """Runs a test's coroutine; a test that hangs fails after a minute."""

    @functools.wraps(test)
    def run(self):
        async def bounded():
            with anyio.fail_after(60):
                await test(self)

        anyio.run(bounded)

    return run


class GoldTestCase(unittest.TestCase):
    """Compares text with golden files."""

    maxDiff = None

    def assert_gold(self, name, text):
        """Compares with `gold/<name>.txt`; UPDATE_GOLD=1 writes it anew."""
        path = GOLD / f"{name}.txt"
        if os.environ.get("UPDATE_GOLD"):
            path.write_text(text)
        self.assertEqual(path.read_text(), text)


def free_address():
    """Returns a loopback address whose port is free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Processes(contextlib.AbstractContextManager):
    """Starts processes and ends just those."""

    def __init__(self):
        self._running = {}

    def start(self, name, module, *arguments):
        """Starts `python -m module arguments`; its log goes to stderr."""
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", *module.split(), *arguments],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=None if os.environ.get("SHOW_LOGS") else subprocess.DEVNULL,
        )

    def pid(self, name):
        """Returns a process's id."""
        return self._running[name].pid

    def signal(self, name, number):
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def kill(self, name):
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self._running.pop(name).wait()

    def wait(self, name):
        """Waits for a process's end and returns its exit status."""
        return self._running.pop(name).wait(WAIT_S)

    def __exit__(self, *_):
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()


def wait_until(check, what):
    """Waits until `check` returns something true, and returns that."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        with contextlib.suppress(httpx.HTTPError):
            found = check()
            if found:
                return found
        time.sleep(0.02)
    raise AssertionError(f"{what}: not within {WAIT_S} s")
