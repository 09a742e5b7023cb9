"""The command line of the gateway, and the adapters that it runs with."""

import argparse
import os
import sys
from collections.abc import Sequence

import anyio
import attrs

from rhubarbwinch.gateway import statistics
from rhubarbwinch.gateway.hops import Tracer
from rhubarbwinch.gateway.program import Gateway, Outside, make_transport
from rhubarbwinch.gateway.settings import GatewaySettings
from rhubarbwinch.gateway.wire import PLATFORMS
from rhubarbwinch.platform import bootfile
from rhubarbwinch.platform.enginecalls import PlatformEngineCalls
from rhubarbwinch.platform.kvstore import PlatformStore
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import SystemClock
from rhubarbwinch.shared.eventloop import check_no_io_uring
from rhubarbwinch.shared.events import LogFormat
from rhubarbwinch.shared.exceptions import RestartLimitError, SettingError
from rhubarbwinch.shared.exitstatus import ExitStatus
from rhubarbwinch.shared.logoutput import LineOutput
from rhubarbwinch.version import VERSION

PREFIX = "RHUBARBWINCH_"
DEFAULT_PLATFORM = "kielichowa"
DEFAULT_METRICS_PORT = 9464
LEVELS = ("debug", "info", "warning", "error")
STORE_TIMEOUT_MS = 1_000
_STANDARD_OUTPUT = 1


@attrs.frozen(kw_only=True)
class GatewayOptions:
    """What the gateway's command line tells.

    Attributes:
        settings: The path of the platform's settings file.
        platform: The platform's name.
        metrics_port: The port of the metrics address.
        log_level: The lowest level that is logged.
        traces: Where spans go: `log`, an OTLP collector's URL, or empty.
    """

    settings: str
    platform: str
    metrics_port: int
    log_level: str
    traces: str

    def load(self) -> GatewaySettings:
        """Reads the settings file.

        Raises:
            SettingError: It can't be read, or a field is missing or wrong.
        """
        return bootfile.load(self.settings, self.metrics_port)


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    # cappa, which the other programs use, takes a third of the time of a
    # start, in which this one serves nobody.
    parser = argparse.ArgumentParser(
        "rhubarbwinch-gateway",
        description="Serves callers of a platform. Each setting is a flag and "
        "an environment variable; the flag wins.",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    _add(parser, "settings", "", "the platform's settings file", "required")
    _add(parser, "platform", DEFAULT_PLATFORM, "the platform's adapter")
    _add(
        parser, "metrics-port", str(DEFAULT_METRICS_PORT), "port of the metrics"
    )
    _add(parser, "log-level", "info", f"one of {', '.join(LEVELS)}")
    _add(parser, "traces", "", "spans: `log` or the URL of an OTLP collector")
    return parser


def parse(argv: Sequence[str] | None = None) -> GatewayOptions:
    """Returns the options; each is a flag and an environment variable.

    Raises:
        SystemExit: One is missing or not allowed, or was help or version.
    """
    parser = make_parser()
    found = parser.parse_args(argv)
    if not found.settings:
        parser.error("--settings is required")
    if found.platform not in PLATFORMS:
        parser.error(f"--platform: one of {', '.join(PLATFORMS)}")
    if found.log_level not in LEVELS:
        parser.error(f"--log-level: one of {', '.join(LEVELS)}")
    if not found.metrics_port.isdigit():
        parser.error("--metrics-port: a whole number")
    if found.traces and not _is_trace_target(found.traces):
        parser.error("--traces: `log` or an http URL")
    return GatewayOptions(
        settings=found.settings,
        platform=found.platform,
        metrics_port=int(found.metrics_port),
        log_level=found.log_level,
        traces=found.traces,
    )


def _is_trace_target(text: str) -> bool:
    """Tells whether spans can be sent there."""
    return text == "log" or text.startswith(("http://", "https://"))


def _add(
    parser: argparse.ArgumentParser,
    name: str,
    default: str,
    text: str,
    empty: str = "none",
) -> None:
    variable = PREFIX + name.upper().replace("-", "_")
    parser.add_argument(
        f"--{name}",
        default=os.environ.get(variable, default),
        help=f"{text} [{variable}] (default: {default or empty})",
    )


def make_tracer(traces: str, name: str) -> Tracer | None:
    """Returns what makes spans; None if there are to be none."""
    if not traces:
        return None
    # The library is slow to import and needed only here.
    from rhubarbwinch.shared import tracing  # noqa: PLC0415

    tracing.configure(traces, name)
    return tracing


def main() -> None:
    """Runs `rhubarbwinch-gateway`."""
    found = parse()
    try:
        settings = found.load()
    except SettingError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(ExitStatus.USAGE)
    lines = LineOutput(
        _STANDARD_OUTPUT, SystemClock(), statistics.LOG_LINES_DROPPED.inc
    )
    events.configure(LogFormat.JSON, found.log_level, settings.name, lines)

    tracer = make_tracer(found.traces, settings.name)

    async def run() -> None:
        check_no_io_uring()
        transport = make_transport()
        outside = Outside(
            platform=PLATFORMS.get(found.platform)(),
            store=PlatformStore(settings.store, STORE_TIMEOUT_MS),
            transport=transport,
            engine_calls=PlatformEngineCalls(transport),
            load_settings=found.load,
            lines=lines,
            tracer=tracer,
        )
        await Gateway(settings, outside).run()

    try:
        anyio.run(run)
    except RestartLimitError as error:
        events.RESTART_LIMIT.log(error=str(error))
        sys.exit(ExitStatus.FAILED)
    except Exception as error:
        events.FATAL.log(error=repr(error))
        sys.exit(ExitStatus.FAILED)
    finally:
        if tracer is not None:
            tracer.close()
