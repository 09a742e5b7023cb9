"""Plots the results of the last `make bench` (`python -m lab.bench_plots`)."""

from typing import Any

import matplotlib as mpl
import orjson

from lab.bench_report import RESULTS, ROOT

mpl.use("Agg")

from matplotlib import pyplot as plt

PLOTS = ROOT / "docs" / "design" / "plots"
_DPI = 110


def _read() -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in RESULTS.read_bytes().splitlines()]


def _series(
    rows: list[dict[str, Any]], policy: str, key: str
) -> tuple[list[float], list[float]]:
    found = sorted(
        (r["load"], _value(r, key)) for r in rows if _is_load_run(r, policy)
    )
    return [load for load, _ in found], [value for _, value in found]


def _is_load_run(row: dict[str, Any], policy: str) -> bool:
    return row["policy"] == policy and row["scenario"].startswith("load")


def _value(row: dict[str, Any], key: str) -> float:
    if key == "goodput":
        return float(row["goodput"])
    if key == "interactive met":
        return 100 * float(row["classes"][0]["met"])
    return float(sum(c[key] for c in row["classes"]))


def plot_deployment(deployment: str, rows: list[dict[str, Any]]) -> None:
    """Plots goodput, interactive targets, stalls and preemptions by load."""
    panels = [
        ("goodput", "goodput, tokens/s"),
        ("interactive met", "interactive requests on target, %"),
        ("stall_s", "stall time, s"),
        ("preemptions", "preemptions"),
    ]
    figure, axes = plt.subplots(2, 2, figsize=(9, 6.5))
    for axis, (key, label) in zip(axes.flat, panels, strict=True):
        for policy in dict.fromkeys(r["policy"] for r in rows):
            loads, values = _series(rows, policy, key)
            if loads:
                axis.plot(loads, values, marker="o", label=policy)
        axis.set_xlabel("load, share of capacity")
        axis.set_ylabel(label)
        axis.grid(alpha=0.3)
    axes.flat[0].legend(fontsize=7)
    figure.suptitle(deployment)
    figure.tight_layout()
    PLOTS.mkdir(parents=True, exist_ok=True)
    figure.savefig(PLOTS / f"admission-{deployment}.png", dpi=_DPI)


def main() -> None:
    """Writes one figure per deployment."""
    rows = _read()
    for name in dict.fromkeys(row["deployment"] for row in rows):
        plot_deployment(
            name, [row for row in rows if row["deployment"] == name]
        )


if __name__ == "__main__":
    main()
