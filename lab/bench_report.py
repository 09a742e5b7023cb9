"""Formats the results of `lab.bench` and stores them as JSON lines."""

import pathlib
import subprocess

import attrs
import orjson

from lab.bench_measure import Percentiles, RunResult

ROOT = pathlib.Path(__file__).parent.parent
HISTORY = ROOT / "lab" / "history.jsonl"
RESULTS = ROOT / ".work" / "bench.jsonl"
_HEADER = (
    f"{'policy':<18}{'class':<10}{'met':>7}{'goodput':>8}{'stall s':>8}"
    f"{'preempt':>8}{'refused':>8}{'late':>6}{'speed':>7}"
    f"{'gap ms 50/95/99/99.9':>23}{'first ms 50/95/99/99.9':>27}{'fair':>6}"
)


@attrs.frozen
class ProductFigures:
    """The figures of the product policy in one scenario of the history."""

    deployment: str
    scenario: str
    goodput: float
    stall_s: float
    preemptions: int
    interactive_met: float


@attrs.frozen
class HistoryLine:
    """A line of the history: the figures of one commit."""

    commit: str
    note: str
    capacity: dict[str, float]
    measured: list[ProductFigures]


def format_table(results: list[RunResult]) -> str:
    """Returns the results as a text table, one block per scenario."""
    lines = []
    previous_title = None
    for result in results:
        title = f"{result.deployment}, {result.scenario}"
        if title != previous_title:
            lines += ["", title, _HEADER]
            previous_title = title
        lines += _format_rows(result)
    return "\n".join(lines)


def _format_rows(result: RunResult) -> list[str]:
    rows = []
    for item in result.classes:
        rows.append(
            f"{result.policy:<18}{item.name:<10}{item.met:>7.1%}"
            f"{item.goodput:>8.0f}{item.stall_s:>8.1f}{item.preemptions:>8}"
            f"{item.refused:>8}{item.refused_late:>6}"
            f"{item.refusal_p99_ms:>7.0f}{_format_percentiles(item.gap):>23}"
            f"{_format_percentiles(item.first):>27}{result.fairness:>6.2f}"
        )
    if result.scenario == "loss":
        rows.append(
            f"{'':<18}{result.attempts:.2f} attempts a request; interactive "
            f"met from 30 s on: {result.recovered_met:.1%}"
        )
    if result.scenario == "flood":
        rows.append(f"{'':<18}the others: {result.others_goodput:.0f} tokens/s")
    return rows


def _format_percentiles(found: Percentiles) -> str:
    values = (found.p50, found.p95, found.p99, found.p999)
    return "/".join(f"{value:.0f}" for value in values)


def write_results(results: list[RunResult]) -> None:
    """Writes one JSON line per simulation to `RESULTS`."""
    RESULTS.parent.mkdir(exist_ok=True)
    rows = [orjson.dumps(attrs.asdict(result)) for result in results]
    RESULTS.write_bytes(b"\n".join(rows) + b"\n")


def product_figures(results: list[RunResult]) -> list[ProductFigures]:
    """Returns the figures of the product policy."""
    return [
        ProductFigures(
            r.deployment,
            r.scenario,
            round(r.goodput, 1),
            round(r.stall_s, 1),
            r.preemptions,
            round(r.classes[0].met, 4),
        )
        for r in results
        if r.policy == "product"
    ]


def read_last_line() -> HistoryLine | None:
    """Returns the last line of the history, or None without a history."""
    if not HISTORY.exists():
        return None
    data = orjson.loads(HISTORY.read_bytes().splitlines()[-1])
    rows = [ProductFigures(**row) for row in data.pop("measured")]
    return HistoryLine(measured=rows, **data)


def append_history(
    note: str, capacity: dict[str, float], rows: list[ProductFigures]
) -> None:
    """Appends the figures of the current commit to the history."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    line = HistoryLine(f"after {commit}", note, capacity, rows)
    with HISTORY.open("ab") as file:
        file.write(orjson.dumps(attrs.asdict(line)) + b"\n")


def format_comparison(now: list[ProductFigures]) -> str:
    """Compares the figures with those of the last commit in the history."""
    last = read_last_line()
    if last is None:
        return "no commit was measured before"
    old = {(m.deployment, m.scenario): m for m in last.measured}
    lines = [f"the product, {last.commit} ({last.note}) and now:"]
    for row in now:
        before = old.get((row.deployment, row.scenario))
        if before is None:
            continue
        lines.append(
            f"  {row.deployment:<11}{row.scenario:<10}"
            f" goodput {before.goodput:.0f} to {row.goodput:.0f},"
            f" stall s {before.stall_s:.0f} to {row.stall_s:.0f},"
            f" preemptions {before.preemptions} to {row.preemptions},"
            f" interactive met {before.interactive_met:.1%} to"
            f" {row.interactive_met:.1%}"
        )
    return "\n".join(lines)
