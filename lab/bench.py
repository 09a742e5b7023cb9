"""Simulates admission policies, baselines and an oracle (`make bench`).

`--record NOTE` appends the figures to lab/history.jsonl.
`--deployment NAME` measures one deployment only. `python -m lab.bench_plots`
draws the results.
"""

import argparse
import sys
import time

from lab import bench_plan, bench_report, bench_traffic
from lab.bench_targets import TargetChecker


def main() -> None:
    """Runs all simulations and prints tables, targets and the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", default="", metavar="NOTE")
    parser.add_argument(
        "--deployment", choices=sorted(bench_traffic.DEPLOYMENTS)
    )
    options = parser.parse_args()
    started_s = time.monotonic()
    names = list(bench_traffic.DEPLOYMENTS)
    if options.deployment:
        names = [options.deployment]
    found = bench_plan.run_in_parallel(bench_plan.find_capacity, names)
    capacity = dict(zip(names, found, strict=True))
    planned_tasks = [
        t for n in names for t in bench_plan.planned_tasks(n, capacity[n])
    ]
    results = bench_plan.run_in_parallel(bench_plan.run_task, planned_tasks)
    results.sort(key=lambda r: (names.index(r.deployment), r.scenario))
    bench_report.write_results(results)
    lines = [f"seed {bench_plan.SEED}"]
    for name in names:
        rates = ", ".join(
            f"{c.name} {c.requests_per_s * capacity[name]:.2f}/s"
            for c in bench_traffic.DEPLOYMENTS[name].classes
        )
        lines.append(f"{name}: capacity {capacity[name]:.4f} ({rates})")
    lines += [bench_report.format_table(results), ""]
    for name in names:
        lines += [
            v.format_line() for v in TargetChecker(name, results).check_all()
        ]
    rows = bench_report.product_figures(results)
    lines += ["", bench_report.format_comparison(rows)]
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stderr.write(f"{time.monotonic() - started_s:.0f} s\n")
    if options.record:
        bench_report.append_history(options.record, capacity, rows)


if __name__ == "__main__":
    main()
