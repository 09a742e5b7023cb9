"""Data classes for docs/CAPACITY.md: target size, slopes and table rows."""

import pathlib

import attrs
import orjson

LAB_DIR = pathlib.Path(__file__).parent
DAY_S = 86_400


@attrs.frozen
class Target:
    """The size that the system is designed for, with the stated values."""

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
    spread_ms: int = 20_000
    store_writes_per_s: int = 400
    store_reads_per_s: int = 2_000

    @property
    def shards(self) -> int:
        """The number of shards: pools split into at most `shard_engines`."""
        pools = self.models * self.data_centers
        per_pool = -(-self.engines // pools)
        return pools * -(-per_pool // self.shard_engines)

    @property
    def open_streams(self) -> int:
        """Concurrent streams if every gap between tokens is `gap_ms` long."""
        return self.tokens_per_s * self.gap_ms // 1000


@attrs.frozen
class Slope:
    """A measured cost per unit of work.

    Attributes:
        name: The name in the formulas.
        value: The cost.
        unit: The unit of the cost.
        per: The unit of work, such as a token or a request.
        command: The command that measured the cost.
    """

    name: str
    value: float
    unit: str
    per: str
    command: str


@attrs.frozen
class Row:
    """A row of the cost table.

    Attributes:
        role: The program.
        cost: The kind of cost.
        amount: The cost at the target size, with its unit.
        limit: The limit on the cost, or empty.
        fits: Whether the amount is within the limit; None without a limit.
        mechanism: The mechanism that keeps the cost low.
    """

    role: str
    cost: str
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
    """Reads the slopes from lab/slopes.json."""
    data = orjson.loads((LAB_DIR / "slopes.json").read_bytes())
    return Slopes([Slope(**item) for item in data])
