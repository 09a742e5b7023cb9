"""Simulates admission policies, baselines and an oracle (`make bench`).

`--record NOTE` appends the figures to lab/history.jsonl.
`--deployment NAME` measures one deployment only. `python -m lab.bench_plots`
draws the results.
"""

import argparse
import sys
import time

from lab import bench_load, bench_plan, bench_report
from lab.bench_targets import Judge


def main() -> None:
    """Runs all simulations and prints tables, targets and the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", default="", metavar="NOTE")
    parser.add_argument("--deployment", choices=sorted(bench_load.DEPLOYMENTS))
    options = parser.parse_args()
    began = time.monotonic()
    names = list(bench_load.DEPLOYMENTS)
    if options.deployment:
        names = [options.deployment]
    found = bench_plan.in_parallel(bench_plan.find_capacity, names)
    capacity = dict(zip(names, found, strict=True))
    tasks = [t for n in names for t in bench_plan.tasks(n, capacity[n])]
    results = bench_plan.in_parallel(bench_plan.perform, tasks)
    results.sort(key=lambda r: (names.index(r.deployment), r.scenario))
    bench_report.write_lines(results)
    out = [f"seed {bench_plan.SEED}"]
    for name in names:
        rates = ", ".join(
            f"{c.name} {c.per_second * capacity[name]:.2f}/s"
            for c in bench_load.DEPLOYMENTS[name].classes
        )
        out.append(f"{name}: capacity {capacity[name]:.4f} ({rates})")
    out += [bench_report.table(results), ""]
    for name in names:
        out += [v.line() for v in Judge(name, results).verdicts()]
    rows = bench_report.measured(results)
    out += ["", bench_report.compare(rows)]
    sys.stdout.write("\n".join(out) + "\n")
    sys.stderr.write(f"{time.monotonic() - began:.0f} s\n")
    if options.record:
        bench_report.add_line(options.record, capacity, rows)


if __name__ == "__main__":
    main()
