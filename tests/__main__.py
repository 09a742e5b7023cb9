"""Runs all tests by nose2 and counts them, with the known red ones apart.

An entry of KNOWN-RED.txt starts with the test's id. Such a test may fail; it
is printed. One that passes must be taken off the list, so it fails the run,
unless the word `intermittent` follows its id: a test that fails in some runs
only is printed with its outcome. Arguments are names of tests to run instead
of all: `python -m tests tests.test_path`.
"""

import pathlib
import sys

import nose2

from tests.outcomes import Outcomes

ROOT = pathlib.Path(__file__).parent.parent


def _known_red():
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {
        line.split()[0]: line
        for line in lines
        if line.strip() and not line.startswith(("#", " "))
    }


def _is_intermittent(entry):
    return entry.split()[1:2] == ["intermittent"]


def main():
    """Prints `N passed, N failed` last; exits with 1 after a failure."""
    names = sys.argv[1:]
    where = [] if names else ["-s", str(ROOT / "tests"), "-t", str(ROOT)]
    nose2.discover(
        argv=["nose2", *where, *names],
        exit=False,
        plugins=["tests.outcomes"],
    )
    red = _known_red()
    failed = Outcomes.failed
    passed = Outcomes.passed - failed
    mended = set(red) & passed
    if not names:
        mended = set(red) - failed
    at_times = {name for name in passed if _is_intermittent(red.get(name, ""))}
    mended -= at_times
    for name in sorted(set(red) & failed):
        print(f"known red: {red[name]}")
    for name in sorted(at_times):
        print(f"known red, passed this time: {red[name]}")
    for name in sorted(mended):
        print(f"on KNOWN-RED.txt, but passes or is not there: {name}")
    for name in sorted(failed - set(red)):
        print(f"failed: {name}")
    bad = len(failed - set(red)) + len(mended)
    print(f"{len(passed)} passed, {bad} failed")
    sys.exit(1 if bad or not passed else 0)


if __name__ == "__main__":
    main()
