"""When a generation is moved off an engine that leaves: pure decisions.

It answers engines that leave about two seconds after their notice with several
runs on them. An engine copies one run after another; a run goes on while it is
copied, and stops for the last part only. All first copies come before the last
parts, so that no run stands still while another one is copied.
"""

import attrs

from rhubarbwinch.gateway.routes import EngineSpec

# An engine leaves at the earliest so long after its notice reaches a gateway.
MIN_NOTICE_MS = 1_400
# A run that ends by itself needs no move, so the last part is copied late; but
# the copy and the new start have to be over before the engine leaves.
LAST_PART_MS = 700
# Copies to another data centre take twice as long.
CROSS_FACTOR = 2.0
# What one copy needs beside its bytes.
COPY_SETUP_MS = 8


@attrs.frozen
class MovePlan:
    """When the parts of a run's memory are copied.

    Attributes:
        last_at_ms: When the run stops and its last part is copied, after the
            notice.
    """

    last_at_ms: int


def copy_ms(tokens: int, spec: EngineSpec) -> float:
    """Returns how long a copy of some tokens of memory takes."""
    if spec.link_mbps <= 0:
        return 0.0
    bits = tokens * spec.kv_token_bytes * 8
    return bits / (spec.link_mbps * 1000) + COPY_SETUP_MS


def plan_move(tokens_there: int, spec: EngineSpec) -> MovePlan:
    """Returns when a run on a leaving engine stops.

    Args:
        tokens_there: The memory of all runs on the engine, in tokens.
        spec: What the engine can do.
    """
    copied_ms = copy_ms(tokens_there, spec) * CROSS_FACTOR
    last_at = max(LAST_PART_MS, copied_ms)
    return MovePlan(int(min(last_at, MIN_NOTICE_MS - 300)))
