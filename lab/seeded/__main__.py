"""Runs seeded fault-injection runs: `python -m lab.seeded --seeds 1-20`.

For each seed with violated guarantees, prints them and the command that repeats
the run. The exit status is 1 if any seed had a violation.
"""

import argparse
import sys

import anyio

from lab.seeded.run import Report, run_seed


def parse_seeds(text: str) -> list[int]:
    """Parses a list of seeds and ranges such as `3,7,10-20`."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def describe(report: Report) -> str:
    """Formats a report as text."""
    lines = [
        f"seed {report.seed}: {report.requests} requests, "
        f"{report.settled} settled, {report.fault_count} faults"
    ]
    lines += [f"  broken: {line}" for line in report.violations]
    if report.violations:
        lines.append(f"  python -m lab.seeded --seeds {report.seed}")
    return "\n".join(lines)


def main() -> None:
    """Runs the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    failed = False
    for seed in options.seeds:
        report = anyio.run(run_seed, seed)
        sys.stdout.write(describe(report) + "\n")
        if options.verbose:
            sys.stdout.write("\n".join(report.faults) + "\n")
        failed = failed or bool(report.violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
