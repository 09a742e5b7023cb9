"""Computes the cost rows of docs/CAPACITY.md at the target size."""

from lab.capacity_model import DAY_S, Row, Slopes, Target
from rhubarbwinch.admission.digests import GROWTH_REPORT_TOKENS
from rhubarbwinch.admission.reports import MAX_REPORT_PERIOD_MS


def config_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns the cost of the configuration in every daemon."""
    changes_per_s = target.changes_per_day / DAY_S
    core_share = changes_per_s * slopes["config_revise"] / 1000
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
            f"{core_share:.5%} of a core",
            f"{target.control_core:.0%}",
            core_share <= target.control_core,
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


# Framing of a link message: transport, protocol version, type and sequence
# numbers.
FRAME_BYTES = 60
MEMBER_LEASE_MS = 15_000
RENEWALS_PER_LEASE = 3
PROGRAMS_PER_VM = 3
SEEDS_PER_DATA_CENTER = 2
REPORT_PERIOD_S = MAX_REPORT_PERIOD_MS / 1000
METER_FLUSH_S = 30
LOADS_PER_S = 4
# Share of requests that run at most once; the requirements do not state one.
AT_MOST_ONCE_SHARE = 0.01


def entry_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns the costs of an entry."""
    streams = target.open_streams / target.daemons
    tokens = target.tokens_per_s / target.daemons
    cores = tokens * slopes["relay_token"] / 1e6
    requests = target.requests_per_s / target.daemons
    request_core_share = requests * slopes["relay_request"] / 1e6
    memory = streams * slopes["relay_stream"]
    return [
        Row(
            "entry",
            "relay: processor time",
            f"{cores:.2f} cores for {tokens:,.0f} tokens/s",
            "1 core",
            cores <= 1,
            "joined sends, own transport; the rest by more entry processes "
            "on a VM, which share nothing",
        ),
        Row(
            "entry",
            "requests: processor time",
            f"{request_core_share:.0%} of a core for {requests:.0f} requests/s",
            "",
            None,
            "one permit call, one stream",
        ),
        Row(
            "entry",
            "open streams: memory",
            f"{memory / 1e6:.0f} MB for {streams:,.0f} streams",
            "",
            None,
            "no state but the position of a stream",
        ),
    ]


def broker_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns the costs of a broker that owns one shard."""
    permits = target.requests_per_s / target.shards
    us_per_permit = slopes["permit_decide"] + slopes["permit_call"] / 2
    streams = target.open_streams / target.shards
    memory = streams * slopes["broker_stream"]
    reads = target.engines / target.shards * LOADS_PER_S
    return [
        Row(
            "broker",
            "permits: processor time",
            f"{permits * us_per_permit / 1e6:.0%} of a core for "
            f"{permits:.0f} permits/s",
            "1 core",
            permits * us_per_permit / 1e6 <= 1,
            f"{target.shards} shards, owners by rendezvous hashing",
        ),
        Row(
            "broker",
            "a permit's decision",
            f"{slopes['permit_decide']:.0f} us",
            "300 us",
            slopes["permit_decide"] <= 300,
            "queues by account; forecasts made anew a few engines at a time",
        ),
        Row(
            "broker",
            "open streams: memory",
            f"{memory / 1e6:.1f} MB for {streams:,.0f} streams",
            f"{target.control_memory_bytes / 1e6:.0f} MB",
            memory <= target.control_memory_bytes,
            "a shard has at most 64 engines",
        ),
        Row(
            "broker",
            "reading of engines' load: processor time",
            f"{reads * slopes['load_read'] / 1e6:.0%} of a core for "
            f"{reads:.0f} reads/s",
            f"{target.control_core:.0%}",
            reads * slopes["load_read"] / 1e6 <= target.control_core,
            "only the pool's owner reads, four times a second",
        ),
        Row(
            "broker",
            "reading of engines' load: answers",
            f"{reads * slopes['load_bytes']:,.0f} B/s",
            f"{target.control_bytes_per_s:,} B/s",
            reads * slopes["load_bytes"] <= target.control_bytes_per_s,
            "the same",
        ),
    ]


def traffic_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns the control traffic of an entry and of the owner of a shard."""
    digest = slopes["digest_bytes"] + 2 * FRAME_BYTES
    grown = target.tokens_per_s / target.shards / GROWTH_REPORT_TOKENS
    common_parts = {
        "heartbeats and news of members": slopes["gossip_bytes"],
        "configuration": (
            target.changes_per_day / DAY_S * slopes["config_chunk"]
        ),
    }
    digests_sent_per_s = target.shards / REPORT_PERIOD_S
    digests_received_per_s = target.daemons / REPORT_PERIOD_S
    entry = common_parts | {"digests sent": digests_sent_per_s * digest}
    broker = common_parts | {
        "digests heard": digests_received_per_s * digest,
        "growth of streams heard": grown * slopes["growth_bytes"],
    }
    return [
        *_role_traffic_rows("entry", entry, digests_sent_per_s, target, slopes),
        *_role_traffic_rows(
            "broker, owner of a shard",
            broker,
            digests_received_per_s,
            target,
            slopes,
        ),
    ]


def _role_traffic_rows(
    role: str,
    parts: dict[str, float],
    digests_per_s: float,
    target: Target,
    slopes: Slopes,
) -> list[Row]:
    """Returns the traffic rows of a role, their sum and the processor time."""
    rows = [
        Row(role, f"control: {name}", f"{rate:,.0f} B/s", "", None, "-")
        for name, rate in parts.items()
    ]
    bytes_per_s = sum(parts.values())
    core_share = digests_per_s * slopes["digest_call"] / 2 / 1e6
    core_share += slopes["gossip_core"] / 100
    core_share += (
        target.changes_per_day / DAY_S * slopes["config_revise"] / 1000
    )
    rows.append(
        Row(
            role,
            "control: bytes, sum",
            f"{bytes_per_s:,.0f} B/s",
            f"{target.control_bytes_per_s:,} B/s",
            bytes_per_s <= target.control_bytes_per_s,
            "heartbeats to a fixed number of peers; digests whose period "
            "grows with the number of entries",
        )
    )
    rows.append(
        Row(
            role,
            "control: processor time, sum",
            f"{core_share:.2%} of a core",
            f"{target.control_core:.0%}",
            core_share <= target.control_core,
            "the same",
        )
    )
    return rows


def store_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns the store calls per second by kind."""
    members = target.daemons * PROGRAMS_PER_VM
    renewals = members * RENEWALS_PER_LEASE / (MEMBER_LEASE_MS / 1000)
    changes = target.changes_per_day / DAY_S
    claims = target.requests_per_s * AT_MOST_ONCE_SHARE * slopes["claim_writes"]
    meters = target.daemons / METER_FLUSH_S
    events = target.vm_failures_per_day + target.vm_replacements_per_day
    replaced = events * PROGRAMS_PER_VM / DAY_S
    writes = claims + meters + changes * 3 + replaced * 2
    reads = changes * slopes["change_calls"] + replaced * 3
    watches = target.data_centers * SEEDS_PER_DATA_CENTER
    return [
        Row(
            "store",
            "renewals of leases",
            f"{renewals:.0f} calls/s with --lease-ms {MEMBER_LEASE_MS}",
            "",
            None,
            "heartbeats find deaths sooner, so leases can be long",
        ),
        Row(
            "store",
            "writes of claims",
            f"{claims:.0f} writes/s if {AT_MOST_ONCE_SHARE:.0%} of requests "
            "run at most once",
            "",
            None,
            "pages with one usual writer, many claims in a write",
        ),
        Row(
            "store",
            "all writes",
            f"{writes:.0f} writes/s",
            f"{target.store_writes_per_s} writes/s",
            writes <= target.store_writes_per_s,
            f"counters of tokens every {METER_FLUSH_S} s "
            f"(--meter-flush-ms {METER_FLUSH_S * 1000})",
        ),
        Row(
            "store",
            "reads and renewals",
            f"{reads + renewals:.0f} calls/s and {watches} waiting watches",
            f"{target.store_reads_per_s} calls/s",
            reads + renewals + watches <= target.store_reads_per_s,
            "two seeds of each data centre watch; peers hand changes on",
        ),
        Row(
            "store",
            "a change in force everywhere",
            f"{slopes['change_spread']:.0f} ms over links of 1 ms",
            f"{target.spread_ms / 1000:.0f} s",
            slopes["change_spread"] <= target.spread_ms,
            "news of a generation by heartbeats, chunks from peers",
        ),
    ]


def failure_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Returns the costs of failures and replacements."""
    streams = target.open_streams / target.daemons
    moved_pools = target.shards / target.daemons
    full_report_bytes = (
        target.open_streams / target.shards * slopes["report_bytes"]
    )
    vms_per_rack = target.daemons / target.data_centers / 4
    rate_after = target.tokens_per_s / (target.data_centers - 1)
    rate_before = target.tokens_per_s / target.data_centers
    events = target.vm_failures_per_day + target.vm_replacements_per_day
    return [
        Row(
            "failures",
            "a VM fails",
            f"{streams:,.0f} streams are resumed by their callers; "
            f"{moved_pools:.2f} pools change owners",
            "",
            None,
            "resume by event id; the new owner hears every entry",
        ),
        Row(
            "failures",
            "a pool's owner changes",
            f"{full_report_bytes / 1e6:.1f} MB of full reports, once",
            "",
            None,
            "announcements at the change of the owner",
        ),
        Row(
            "failures",
            f"{target.vm_failures_per_day} failures and "
            f"{target.vm_replacements_per_day} replacements a day",
            f"one each {DAY_S / events:.0f} s",
            "",
            None,
            "drain for replacements; leases and heartbeats for failures",
        ),
        Row(
            "failures",
            "a rack of a quarter of a data centre",
            f"{vms_per_rack:.0f} VMs at once, "
            f"{vms_per_rack * streams:,.0f} streams",
            "",
            None,
            "the same as VMs; not measured together",
        ),
        Row(
            "failures",
            "a data centre",
            f"the others carry {rate_after / rate_before - 1:.1%} more",
            "",
            None,
            "entries ask pools of other data centres; room must be kept free",
        ),
        Row(
            "failures",
            "an hour without another region",
            "members of the other region count as lost; pools there are "
            "asked by its own entries",
            "",
            None,
            "owners by the members that are seen; not measured",
        ),
    ]


ROW_FUNCTIONS = [
    entry_rows,
    broker_rows,
    config_rows,
    traffic_rows,
    store_rows,
    failure_rows,
]
