"""Runs seeds of the soak: `python -m lab.soak --seeds 1-50`.

Without --seeds, the seeds of regressions.txt run, which once violated a
guarantee. For each seed with violations, the program prints them, the directory
of the logs and the command to repeat the run. The exit status is 1 if any seed
had a violation.
"""

import argparse
import pathlib
import shutil
import sys
import tempfile
from collections import Counter

import anyio
from absl import logging

from lab.seeded.__main__ import parse_seeds
from lab.soak.check import find_violations
from lab.soak.records import RunRecords
from lab.soak.run import Size, run_seed

REGRESSIONS = pathlib.Path(__file__).parent / "regressions.txt"
MAX_LINES = 20


def regression_seeds() -> list[int]:
    """Returns the seeds that once violated a guarantee."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def describe(seed: int, records: RunRecords) -> str:
    """Returns a one-line summary of a run."""
    statuses = Counter(a.status for a in records.attempts)
    faults = sum(line.endswith(" begins") for line in records.faults)
    return (
        f"seed {seed}: {len(records.attempts)} requests "
        f"{dict(statuses.most_common())}, {len(records.runs)} runs "
        f"({sum(run.is_resumed for run in records.runs)} from copies), "
        f"{faults} faults, peak {records.peak_mb:.0f} MB\n"
    )


def write_records(records: RunRecords, folder: pathlib.Path) -> None:
    """Writes the records to the directory of the logs, for diagnosis."""
    for name, rows in (
        ("faults.txt", records.faults),
        ("attempts.txt", records.attempts),
        ("runs.txt", records.runs),
    ):
        (folder / name).write_text("".join(f"{row}\n" for row in rows))


def _run_one(seed: int, size: Size) -> bool:
    """Runs a seed; keeps its directory only if there are violations."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    records = anyio.run(run_seed, seed, folder, size)
    violations = find_violations(records, with_times=True)
    sys.stdout.write(describe(seed, records))
    if violations:
        write_records(records, folder)
        lines = [f"  broken: {line}\n" for line in violations[:MAX_LINES]]
        lines.append(f"  logs: {folder}\n")
        lines.append(f"  again: python -m lab.soak --seeds {seed}\n")
        sys.stdout.writelines(lines)
    else:
        shutil.rmtree(folder)
    sys.stdout.flush()
    return not violations


def main() -> None:
    """Runs the seeds."""
    defaults = Size()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=regression_seeds())
    parser.add_argument("--seconds", type=float, default=defaults.faults_s)
    parser.add_argument("--gateways", type=int, default=defaults.gateways)
    parser.add_argument("--engines", type=int, default=defaults.engines)
    parser.add_argument("--callers", type=int, default=defaults.callers)
    options = parser.parse_args()
    size = Size(
        options.seconds, options.gateways, options.engines, options.callers
    )
    # Errors that the stand-ins log are a result of the injected faults.
    logging.set_verbosity(logging.FATAL)
    passed = [_run_one(seed, size) for seed in options.seeds]
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
