"""Settings of the daemons, which flags and environment variables set."""

from typing import Annotated

import attrs
import zmq

from rhubarbwinch.admission.placement import POLICIES
from rhubarbwinch.links.links import LinkKeys
from rhubarbwinch.shared import settingtypes as types
from rhubarbwinch.shared.events import LogFormat
from rhubarbwinch.shared.exceptions import SettingError
from rhubarbwinch.shared.settingtypes import setting_arg
from rhubarbwinch.shared.tls import TlsFiles
from rhubarbwinch.stores import etcdstore  # noqa: F401 - registers an adapter
from rhubarbwinch.stores.store import STORES

_log_format = types.ValueType(", ".join(LogFormat), LogFormat)


@attrs.define(kw_only=True)
class Settings:
    """The settings that all daemons have.

    Attributes:
        name: The member's name, unique among all members.
        data_center: The data centre that the member runs in.
        region: The region of the data centre.
        link: `a.b.c.d:port` at which peers reach the member.
        http: `a.b.c.d:port` of the HTTP interface.
        store: `a.b.c.d:port` of the key-value store.
        store_kind: The store adapter's name.
        store_timeout_ms: The timeout of a call to the store.
        peers: Link addresses of some peers, for a start while the store is
            unavailable.
        lease_ms: The duration of the lease of the member's registration.
        link_public_key: The deployment's CURVE public key.
        link_secret_key: The deployment's CURVE secret key.
        drain_ms: The longest wait for open streams at shutdown.
        log_level: The lowest level that is logged.
        log_format: `text` or `json`.
        statsd: `a.b.c.d:port` of a statsd server; empty for no metrics.
        traces: `log`, the URL of an OTLP collector, or empty for no tracing.
        trace_percent: The percentage of the traces that begin here to record.
    """

    name: Annotated[
        str, setting_arg("name", "", types.name, "Member name", True)
    ]
    data_center: Annotated[
        str,
        setting_arg("data-center", "dc", types.name, "Data centre of this VM"),
    ] = "dc"
    region: Annotated[
        str,
        setting_arg(
            "region", "region", types.name, "Region of the data centre"
        ),
    ] = "region"
    link: Annotated[
        str, setting_arg("link", "", types.address, "Address for peers", True)
    ]
    http: Annotated[
        str,
        setting_arg(
            "http", "", types.address, "Address of the HTTP interface", True
        ),
    ]
    store: Annotated[
        str,
        setting_arg("store", "", types.address, "Address of the store", True),
    ]
    store_kind: Annotated[
        str,
        setting_arg(
            "store-kind", "etcd", types.registered(STORES), "Store adapter"
        ),
    ] = "etcd"
    store_timeout_ms: Annotated[
        int,
        setting_arg(
            "store-timeout-ms",
            1000,
            types.number(10, 60_000),
            "Store call timeout",
        ),
    ] = 1000
    peers: Annotated[
        list[str],
        setting_arg(
            "peers", "", types.addresses, "Link addresses, with commas between"
        ),
    ] = attrs.field(factory=list)
    lease_ms: Annotated[
        int,
        setting_arg(
            "lease-ms", 5000, types.number(1000, 600_000), "Member lease"
        ),
    ] = 5000
    link_public_key: Annotated[
        str,
        setting_arg(
            "link-public-key", "", types.curve_key, "CURVE public key, Z85"
        ),
    ] = ""
    link_secret_key: Annotated[
        str,
        setting_arg(
            "link-secret-key", "", types.curve_secret, "CURVE secret key, Z85"
        ),
    ] = attrs.field(default="", repr=False)
    drain_ms: Annotated[
        int,
        setting_arg(
            "drain-ms", 30_000, types.number(0, 3_600_000), "Drain limit"
        ),
    ] = 30_000
    log_level: Annotated[
        str,
        setting_arg(
            "log-level",
            "info",
            types.choice("debug", "info", "warning", "error"),
            "Lowest level logged",
        ),
    ] = "info"
    log_format: Annotated[
        LogFormat,
        setting_arg("log-format", "text", _log_format, "Format of log lines"),
    ] = LogFormat.TEXT
    statsd: Annotated[
        str,
        setting_arg(
            "statsd",
            "",
            types.optional(types.address),
            "Address of a statsd server",
        ),
    ] = ""
    traces: Annotated[
        str,
        setting_arg(
            "traces", "", types.traces, "`log`, or URL of an OTLP collector"
        ),
    ] = ""

    trace_percent: Annotated[
        int,
        setting_arg(
            "trace-percent", 100, types.number(0, 100), "Traces recorded"
        ),
    ] = 100

    @property
    def link_keys(self) -> LinkKeys | None:
        """The key pair for links; None if no key is set."""
        if not self.link_public_key:
            return None
        return LinkKeys(self.link_public_key, self.link_secret_key)

    def check(self) -> None:
        """Checks the settings that depend on each other.

        Raises:
            SettingError: Settings contradict each other.
        """
        if not self.link_public_key and not self.link_secret_key:
            return
        try:
            public = zmq.curve_public(self.link_secret_key.encode())
        except (zmq.ZMQError, ValueError):
            public = b""
        if public.decode() != self.link_public_key:
            raise SettingError(
                "link-secret-key",
                "(not shown)",
                "the secret key of --link-public-key",
            )


@attrs.define(kw_only=True)
class EntrySettings(Settings):
    """The settings that only an entry has.

    Attributes:
        max_body_bytes: The largest request body.
        body_timeout_ms: The longest wait for a request body.
        stream_secret: Signs generation ids, so that only the account that
            started a stream can resume it.
        permit_timeout_ms: The timeout of a call to a broker, in addition to
            the wait in the queue.
        endpoint_silence_ms: A stream that receives no byte from its endpoint
            for this long is resumed.
        claims_keep_hours: How long claims and token counters are kept for
            audits; no key older than this is accepted.
        claim_writes_per_s: The most store writes for claims per second.
        meter_flush_ms: The interval between two writes of the token counters.
        resume_grace_ms: How long a generation is kept for a caller that lost
            its connection and may resume the stream.
        certfile: The certificate for callers, PEM; empty for plain HTTP.
        keyfile: The certificate's private key, PEM.
    """

    max_body_bytes: Annotated[
        int,
        setting_arg(
            "max-body-bytes", 4 << 20, types.number(1024, 1 << 30), "Body limit"
        ),
    ] = 4 << 20
    body_timeout_ms: Annotated[
        int,
        setting_arg(
            "body-timeout-ms",
            30_000,
            types.number(10, 600_000),
            "Longest wait for a request body",
        ),
    ] = 30_000
    stream_secret: Annotated[
        str,
        setting_arg("stream-secret", "", types.secret, "Signs generation ids"),
    ] = attrs.field(default="", repr=False)
    permit_timeout_ms: Annotated[
        int,
        setting_arg(
            "permit-timeout-ms",
            500,
            types.number(10, 60_000),
            "Broker call timeout",
        ),
    ] = 500
    endpoint_silence_ms: Annotated[
        int,
        setting_arg(
            "endpoint-silence-ms",
            2000,
            types.number(100, 600_000),
            "Silence after which a stream is resumed",
        ),
    ] = 2000
    claims_keep_hours: Annotated[
        int,
        setting_arg(
            "claims-keep-hours",
            35 * 24,
            types.number(1, 400 * 24),
            "How long claims and token counters are kept",
        ),
    ] = 35 * 24
    claim_writes_per_s: Annotated[
        int,
        setting_arg(
            "claim-writes-per-s",
            50,
            types.number(1, 10_000),
            "Maximum store writes for claims per second",
        ),
    ] = 50
    meter_flush_ms: Annotated[
        int,
        setting_arg(
            "meter-flush-ms",
            5_000,
            types.number(100, 600_000),
            "Interval between writes of the token counters",
        ),
    ] = 5_000
    resume_grace_ms: Annotated[
        int,
        setting_arg(
            "resume-grace-ms",
            10_000,
            types.number(0, 600_000),
            "How long a generation is kept for a disconnected caller",
        ),
    ] = 10_000
    certfile: Annotated[
        str,
        setting_arg("certfile", "", types.file, "Certificate for callers, PEM"),
    ] = ""
    keyfile: Annotated[
        str,
        setting_arg(
            "keyfile", "", types.file, "Private key of the certificate, PEM"
        ),
    ] = ""

    @property
    def tls(self) -> TlsFiles | None:
        """The files for TLS, or None for plain HTTP."""
        if not self.certfile:
            return None
        return TlsFiles(self.certfile, self.keyfile)

    def check(self) -> None:
        """Checks the settings that depend on each other.

        Raises:
            SettingError: Settings contradict each other.
        """
        super().check()
        if bool(self.certfile) == bool(self.keyfile):
            return
        missing = "keyfile" if self.certfile else "certfile"
        raise SettingError(missing, "", "a file, as the other TLS file is set")


@attrs.define(kw_only=True)
class BrokerSettings(Settings):
    """The settings that only a broker has.

    Attributes:
        placement: The placement policy's name.
        load_poll_ms: The interval at which an endpoint's load is polled.
    """

    placement: Annotated[
        str,
        setting_arg(
            "placement",
            "quantile",
            types.registered(POLICIES),
            "Placement policy",
        ),
    ] = "quantile"
    load_poll_ms: Annotated[
        int,
        setting_arg(
            "load-poll-ms", 250, types.number(10, 60_000), "Load poll interval"
        ),
    ] = 250


@attrs.define(kw_only=True)
class ControlSettings(Settings):
    """The settings that only a control has.

    Attributes:
        engine_adapter: The name of the adapter that sends orders to engines.
        order_lease_ms: The duration of the lease for orders.
        order_flight_ms: The longest time from sending an order to its effect.
        loads_per_minute: How many load orders per minute the weight store
            sustains, for the whole deployment.
        vm_list: `a.b.c.d:port` of the platform's list of VMs; empty for none.
        vm_list_kind: The name of the adapter that reads the list of VMs.
    """

    engine_adapter: Annotated[
        str,
        setting_arg(
            "engine-adapter",
            "http",
            types.name,
            "Adapter for orders to engines",
        ),
    ] = "http"
    order_lease_ms: Annotated[
        int,
        setting_arg(
            "order-lease-ms",
            10_000,
            types.number(1000, 600_000),
            "Lease for orders",
        ),
    ] = 10_000
    order_flight_ms: Annotated[
        int,
        setting_arg(
            "order-flight-ms",
            2000,
            types.number(100, 60_000),
            "Longest time from an order to its effect",
        ),
    ] = 2000
    loads_per_minute: Annotated[
        int,
        setting_arg(
            "loads-per-minute",
            60,
            types.number(1, 100_000),
            "Load orders per minute in the whole deployment",
        ),
    ] = 60
    vm_list: Annotated[
        str,
        setting_arg(
            "vm-list",
            "",
            types.optional(types.address),
            "Address of the list of VMs",
        ),
    ] = ""
    vm_list_kind: Annotated[
        str, setting_arg("vm-list-kind", "json", types.name, "VM list adapter")
    ] = "json"
