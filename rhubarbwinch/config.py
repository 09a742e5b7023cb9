"""The settings of all programs, read from flags and the environment."""

import os
from collections.abc import Callable
from typing import Annotated, Any

import attrs
import cappa

from rhubarbwinch import misc
from rhubarbwinch.events import LogFormat
from rhubarbwinch.links import LinkKeys
from rhubarbwinch.placement import POLICIES
from rhubarbwinch.store import STORES

ENV_PREFIX = "RHUBARBWINCH_"


def _refuse(value: str, allowed: str) -> ValueError:
    return ValueError(f"{value!r}; allowed: {allowed}")


def _address(value: str) -> str:
    try:
        misc.split_address(value)
    except ValueError:
        raise _refuse(value, "IP number:port") from None
    return value


def _addresses(value: str) -> list[str]:
    return [_address(part) for part in value.split(",") if part]


def _number(low: int, high: int) -> Callable[[str], int]:
    def parse(value: str) -> int:
        allowed = f"a whole number from {low} to {high}"
        try:
            number = int(value)
        except ValueError:
            raise _refuse(value, allowed) from None
        if not low <= number <= high:
            raise _refuse(value, allowed)
        return number

    return parse


def _choice(*names: str) -> Callable[[str], str]:
    def parse(value: str) -> str:
        if value not in names:
            raise _refuse(value, ", ".join(names))
        return value

    return parse


def _name(value: str) -> str:
    if not value or not all(c.isalnum() or c in ".-" for c in value):
        raise _refuse(value, "letters, digits, dots and dashes")
    return value


def _arg(
    name: str,
    default: Any,
    parse: Callable[[str], Any],
    help_text: str,
    required: bool = False,
) -> Any:
    variable = ENV_PREFIX + name.upper().replace("-", "_")
    source = cappa.Env(variable, default=cappa.Empty if required else default)
    return cappa.Arg(
        long=f"--{name}",
        default=source,
        parse=lambda value: parse(value) if isinstance(value, str) else value,
        help=f"{help_text} [{variable}]",
    )


@attrs.define(kw_only=True)
class Settings:
    """What every program is told.

    Attributes:
        name: The member's name, unique among all members.
        data_center: The data centre that it runs in.
        region: The region of the data centre.
        link: `a.b.c.d:port` at which peers reach it.
        http: `a.b.c.d:port` of its HTTP interface.
        store: `a.b.c.d:port` of the key-value store.
        store_kind: The store adapter's name.
        store_timeout_ms: The longest wait for the store.
        peers: Link addresses of some peers, for a start without the store.
        lease_ms: The life of the member's registration without renewal.
        link_public_key: The deployment's CURVE public key.
        link_secret_key: The deployment's CURVE secret key.
        drain_ms: The longest wait for open streams at the end.
        log_level: The lowest level that is logged.
        log_format: `text` or `json`.
        statsd: `a.b.c.d:port` of a statsd server; empty for none.
        traces: URL of an OTLP collector, or empty.
    """

    name: Annotated[str, _arg("name", "", _name, "Member name", True)]
    data_center: Annotated[
        str, _arg("data-center", "dc", _name, "Data centre of this VM")
    ] = "dc"
    region: Annotated[
        str, _arg("region", "region", _name, "Region of the data centre")
    ] = "region"
    link: Annotated[str, _arg("link", "", _address, "Address for peers", True)]
    http: Annotated[
        str, _arg("http", "", _address, "Address of the HTTP interface", True)
    ]
    store: Annotated[
        str, _arg("store", "", _address, "Address of the store", True)
    ]
    store_kind: Annotated[
        str, _arg("store-kind", "etcd", _choice(*STORES), "Store adapter")
    ] = "etcd"
    store_timeout_ms: Annotated[
        int,
        _arg(
            "store-timeout-ms", 1000, _number(10, 60_000), "Store call timeout"
        ),
    ] = 1000
    peers: Annotated[
        list[str],
        _arg("peers", "", _addresses, "Link addresses, with commas between"),
    ] = attrs.field(factory=list)
    lease_ms: Annotated[
        int, _arg("lease-ms", 5000, _number(1000, 600_000), "Member lease")
    ] = 5000
    link_public_key: Annotated[
        str, _arg("link-public-key", "", str, "CURVE public key, Z85")
    ] = ""
    link_secret_key: Annotated[
        str, _arg("link-secret-key", "", str, "CURVE secret key, Z85")
    ] = attrs.field(default="", repr=False)
    drain_ms: Annotated[
        int, _arg("drain-ms", 30_000, _number(0, 3_600_000), "Drain limit")
    ] = 30_000
    log_level: Annotated[
        str,
        _arg(
            "log-level",
            "info",
            _choice("debug", "info", "warning", "error"),
            "Lowest level logged",
        ),
    ] = "info"
    log_format: Annotated[
        LogFormat, _arg("log-format", "text", LogFormat, "text or json")
    ] = LogFormat.TEXT
    statsd: Annotated[
        str,
        _arg(
            "statsd",
            "",
            lambda value: _address(value) if value else "",
            "Address of a statsd server",
        ),
    ] = ""
    traces: Annotated[
        str, _arg("traces", "", str, "URL of an OTLP collector")
    ] = ""

    @property
    def link_keys(self) -> LinkKeys | None:
        """The key pair for links, or None without one."""
        if not self.link_public_key:
            return None
        return LinkKeys(self.link_public_key, self.link_secret_key)


@attrs.define(kw_only=True)
class EntrySettings(Settings):
    """What an entry is told besides.

    Attributes:
        max_body_bytes: The largest request body.
        stream_secret: Signs generation ids, so that only the account that
            started a stream can resume it.
        permit_timeout_ms: The longest wait for a broker beyond the queue.
        endpoint_silence_ms: A stream without a byte for so long is resumed.
        claims_keep_hours: How long claims and counters are kept for audits;
            no key older than this is accepted.
        claim_writes_per_s: The most writes of claims in a second.
        meter_flush_ms: The time between two writes of the counters.
        resume_grace_ms: How long a generation is kept for a caller that lost
            its connection and may resume it.
    """

    max_body_bytes: Annotated[
        int,
        _arg("max-body-bytes", 4 << 20, _number(1024, 1 << 30), "Body limit"),
    ] = 4 << 20
    stream_secret: Annotated[
        str, _arg("stream-secret", "", str, "Signs generation ids")
    ] = attrs.field(default="", repr=False)
    permit_timeout_ms: Annotated[
        int,
        _arg(
            "permit-timeout-ms", 500, _number(10, 60_000), "Broker call timeout"
        ),
    ] = 500
    endpoint_silence_ms: Annotated[
        int,
        _arg(
            "endpoint-silence-ms",
            2000,
            _number(100, 600_000),
            "Silence after which a stream is resumed",
        ),
    ] = 2000
    claims_keep_hours: Annotated[
        int,
        _arg(
            "claims-keep-hours",
            35 * 24,
            _number(1, 400 * 24),
            "How long claims and counters are kept",
        ),
    ] = 35 * 24
    claim_writes_per_s: Annotated[
        int,
        _arg(
            "claim-writes-per-s",
            50,
            _number(1, 10_000),
            "Most store writes for claims in a second",
        ),
    ] = 50
    meter_flush_ms: Annotated[
        int,
        _arg(
            "meter-flush-ms",
            5_000,
            _number(100, 600_000),
            "Time between two writes of the counters",
        ),
    ] = 5_000
    resume_grace_ms: Annotated[
        int,
        _arg(
            "resume-grace-ms",
            10_000,
            _number(0, 600_000),
            "How long a generation is kept for a caller that left it",
        ),
    ] = 10_000


@attrs.define(kw_only=True)
class BrokerSettings(Settings):
    """What a broker is told besides.

    Attributes:
        placement: The placement policy's name.
        load_poll_ms: The time between two readings of an endpoint's load.
    """

    placement: Annotated[
        str,
        _arg("placement", "quantile", _choice(*POLICIES), "Placement policy"),
    ] = "quantile"
    load_poll_ms: Annotated[
        int,
        _arg("load-poll-ms", 250, _number(10, 60_000), "Load reading period"),
    ] = 250


@attrs.define(kw_only=True)
class ControlSettings(Settings):
    """What a control is told besides.

    Attributes:
        engine_adapter: How engines take orders.
        order_lease_ms: The life of the lease for orders without renewal.
        order_flight_ms: The longest time from an order to its effect.
        loads_per_minute: What the weight store carries, for the deployment.
        vm_list: `a.b.c.d:port` of the platform's list of VMs; empty for none.
        vm_list_kind: The list's adapter.
    """

    engine_adapter: Annotated[
        str, _arg("engine-adapter", "http", _name, "How engines take orders")
    ] = "http"
    order_lease_ms: Annotated[
        int,
        _arg(
            "order-lease-ms", 10_000, _number(1000, 600_000), "Lease for orders"
        ),
    ] = 10_000
    order_flight_ms: Annotated[
        int,
        _arg(
            "order-flight-ms",
            2000,
            _number(100, 60_000),
            "Longest flight of an order",
        ),
    ] = 2000
    loads_per_minute: Annotated[
        int,
        _arg(
            "loads-per-minute",
            60,
            _number(1, 100_000),
            "Load orders a minute in the whole deployment",
        ),
    ] = 60
    vm_list: Annotated[
        str,
        _arg(
            "vm-list",
            "",
            lambda value: _address(value) if value else "",
            "Address of the list of VMs",
        ),
    ] = ""
    vm_list_kind: Annotated[
        str, _arg("vm-list-kind", "json", _name, "VM list adapter")
    ] = "json"


def environment_help() -> dict[str, str]:
    """Returns the environment variables that are set, for `--help` checks."""
    return {k: v for k, v in os.environ.items() if k.startswith(ENV_PREFIX)}
