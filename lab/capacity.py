"""Computes docs/CAPACITY.md from the measured slopes and the target size.

`python -m lab.capacity` rewrites the tables between the markers of the page;
`--check` only checks whether the page is up to date.
"""

import argparse
import sys

from lab.capacity_model import LAB_DIR, Slopes, Target, load_slopes
from lab.capacity_rows import ROW_FUNCTIONS

PAGE = LAB_DIR.parent / "docs" / "CAPACITY.md"
TABLES_BEGIN, TABLES_END = "<!-- tables -->\n", "<!-- end of tables -->\n"


def tables(target: Target, slopes: Slopes) -> str:
    """Returns the tables of the page as Markdown."""
    lines = [
        "| role | cost | at the target | limit | fits | mechanism |",
        "|---|---|---|---|---|---|",
    ]
    for row_function in ROW_FUNCTIONS:
        for row in row_function(target, slopes):
            fits = {True: "yes", False: "**no**", None: "-"}[row.fits]
            lines.append(
                f"| {row.role} | {row.cost} | {row.amount} | {row.limit or '-'}"
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
    """Returns the page with its tables replaced by computed ones."""
    head, _, rest = page.partition(TABLES_BEGIN)
    _, _, tail = rest.partition(TABLES_END)
    return head + TABLES_BEGIN + tables(target, slopes) + TABLES_END + tail


def main() -> None:
    """Rewrites the page and prints its tables, or checks the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    page = PAGE.read_text()
    updated = render(page, Target(), load_slopes())
    if parser.parse_args().check:
        sys.exit(0 if updated == page else "docs/CAPACITY.md is not up to date")
    PAGE.write_text(updated)
    sys.stdout.write(tables(Target(), load_slopes()))


if __name__ == "__main__":
    main()
