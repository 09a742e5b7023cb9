"""The data centres, home regions and cold-start limits of a seed."""

import random
from collections.abc import Mapping

import attrs

from lab.soak.records import RequestKind

ENGINE_SERVICE, PLAIN_SERVICE = "engines", "plain"
ZONES = {"z1": "east", "z2": "west", "z3": "east"}
# Shorter than the recovery period of a run, at whose end all engines are warm.
COLD_START_S = 2.0
COLD_PER_S = 4
COLD_OVERAGE = 1.5
# Shorter than the default of 5,000 ms, so that evacuations of a few seconds are
# judged.
EVACUATE_MS = 2_000


@attrs.frozen
class Layout:
    """What differs between the deployments of seeds.

    Attributes:
        regions: The regions by data centre; empty for seeds with one data
            centre and without the faults of data centres.
        route_regions: The home regions by route.
        account_regions: The home regions by client account.
        cold_service: The service whose endpoints can be cold; empty for none.
        cold_slack: The setting `bounds.cold_slack` of the gateways.
    """

    regions: Mapping[str, str] = attrs.field(factory=dict)
    route_regions: Mapping[str, list[str]] = attrs.field(factory=dict)
    account_regions: Mapping[str, list[str]] = attrs.field(factory=dict)
    cold_service: str = ""
    cold_slack: int = 5

    def zone(self, number: int) -> str:
        """Returns the data centre of the gateway or engine with a number."""
        zones = sorted(self.regions) or ["z1"]
        return zones[number % len(zones)]

    @property
    def max_cold_per_s(self) -> float:
        """The requests that a cold endpoint may receive in any second."""
        return COLD_PER_S * COLD_OVERAGE + self.cold_slack


def draw_layout(seed: int) -> Layout:
    """Returns the layout of a seed.

    Even seeds that are no multiples of 8 have several data centres. This leaves
    out all seeds of regressions.txt that are older than the layouts.
    """
    if seed % 8 not in (2, 4, 6):
        return Layout()
    rng = random.Random(f"layout {seed}")
    return Layout(
        regions=ZONES,
        route_regions={RequestKind.RESUMABLE.value: ["east"]},
        account_regions={"b": rng.choice((["east"], ["east", "west"]))},
        cold_service=rng.choice((ENGINE_SERVICE, PLAIN_SERVICE)),
        cold_slack=rng.choice((2, 5)),
    )
