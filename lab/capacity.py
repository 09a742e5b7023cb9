"""Works out docs/CAPACITY.md from the measured slopes and the target size.

`python -m lab.capacity` writes the page's tables between their marks;
`--check` only tells whether the page is up to date.
"""

import argparse
import pathlib
import sys

import attrs
import orjson

HERE = pathlib.Path(__file__).parent
PAGE = HERE.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- tables -->\n", "<!-- end of tables -->\n"
DAY_S = 86_400


@attrs.frozen
class Target:
    """The size that the design is for; the defaults are the stated ones."""

    daemons: int = 340
    engines: int = 2_200
    requests_per_s: int = 21_000
    tokens_per_s: int = 9_000_000
    gap_ms: int = 41
    accounts: int = 9_400
    models: int = 3
    data_centers: int = 9
    changes_per_day: int = 1_600
    vm_failures_per_day: int = 22
    vm_replacements_per_day: int = 800
    control_core: float = 0.02
    control_memory_bytes: int = 256_000_000
    control_bytes_per_s: int = 9_000
    shard_engines: int = 64

    @property
    def shards(self) -> int:
        """Pools, split so that each has at most `shard_engines` engines."""
        pools = self.models * self.data_centers
        per_pool = -(-self.engines // pools)
        return pools * -(-per_pool // self.shard_engines)

    @property
    def open_streams(self) -> int:
        """Streams open at once when every gap is as long as allowed."""
        return self.tokens_per_s * self.gap_ms // 1000


@attrs.frozen
class Slope:
    """A measured cost of one more of something.

    Attributes:
        name: The name in the formulas.
        value: The cost.
        unit: The cost's unit.
        per: What it is the cost of.
        command: The command that measured it.
    """

    name: str
    value: float
    unit: str
    per: str
    command: str


@attrs.frozen
class Row:
    """A line of the page.

    Attributes:
        role: The program.
        what: The cost.
        amount: What it comes to at the target, with its unit.
        limit: What is allowed, or empty.
        fits: Whether the amount is within the limit; None without a limit.
        mechanism: What carries it.
    """

    role: str
    what: str
    amount: str
    limit: str
    fits: bool | None
    mechanism: str


class Slopes:
    """The measured slopes by name.

    Args:
        items: The slopes.
    """

    def __init__(self, items: list[Slope]) -> None:
        self.items = items
        self._by_name = {item.name: item.value for item in items}

    def __getitem__(self, name: str) -> float:
        return self._by_name[name]


def load_slopes() -> Slopes:
    """Returns the slopes in lab/slopes.json."""
    data = orjson.loads((HERE / "slopes.json").read_bytes())
    return Slopes([Slope(**item) for item in data])


def config_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns what the configuration costs every daemon."""
    changes_per_s = target.changes_per_day / DAY_S
    core = changes_per_s * slopes["config_revise"] / 1000
    rate = changes_per_s * slopes["config_chunk"]
    memory = slopes["config_memory"]
    return [
        Row(
            "every daemon",
            "configuration: memory",
            f"{memory / 1e6:.0f} MB",
            f"{target.control_memory_bytes / 1e6:.0f} MB",
            memory <= target.control_memory_bytes,
            "one snapshot, replaced by revision",
        ),
        Row(
            "every daemon",
            "configuration: processor time of changes",
            f"{core:.5%} of a core",
            f"{target.control_core:.0%}",
            core <= target.control_core,
            "only the changed chunk is parsed",
        ),
        Row(
            "every daemon",
            "configuration: bytes of changed chunks",
            f"{rate:.0f} B/s",
            f"{target.control_bytes_per_s} B/s",
            rate <= target.control_bytes_per_s,
            "64 chunks by hash, fetched from a peer",
        ),
        Row(
            "every daemon",
            "configuration: longest hold-up of the event loop",
            f"{slopes['config_revise']:.1f} ms",
            f"{target.gap_ms} ms",
            slopes["config_revise"] <= target.gap_ms,
            "only the changed chunk is parsed",
        ),
    ]


PARTS = [config_rows]


def tables(target: Target, slopes: Slopes) -> str:
    """Returns the page's tables."""
    lines = [
        "| role | cost | at the target | limit | fits | mechanism |",
        "|---|---|---|---|---|---|",
    ]
    for part in PARTS:
        for row in part(target, slopes):
            fits = {True: "yes", False: "**no**", None: "-"}[row.fits]
            lines.append(
                f"| {row.role} | {row.what} | {row.amount} | {row.limit or '-'}"
                f" | {fits} | {row.mechanism} |"
            )
    lines += [
        "",
        "| slope | value | unit | per | command |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {s.name} | {s.value:g} | {s.unit} | {s.per} | `{s.command}` |"
        for s in slopes.items
    ]
    return "\n".join(lines) + "\n"


def render(page: str, target: Target, slopes: Slopes) -> str:
    """Returns the page with its tables worked out anew."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return head + BEGIN + tables(target, slopes) + END + tail


def main() -> None:
    """Writes the page, or checks it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    page = PAGE.read_text()
    fresh = render(page, Target(), load_slopes())
    if parser.parse_args().check:
        sys.exit(0 if fresh == page else "docs/CAPACITY.md is not up to date")
    PAGE.write_text(fresh)
    sys.stdout.write(tables(Target(), load_slopes()))


if __name__ == "__main__":
    main()
