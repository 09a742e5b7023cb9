"""Command line of the gateway, which selects the gateway's adapters."""

import argparse
import os
import sys
from collections.abc import Sequence

import anyio
import attrs

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.platforminterface import PLATFORMS
from rhubarbwinch.gateway.program import (
    Gateway,
    GatewayDependencies,
    make_transport,
)
from rhubarbwinch.gateway.requestspans import Tracer
from rhubarbwinch.gateway.settings import GatewaySettings
from rhubarbwinch.platform import settingsfile
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

ENV_PREFIX = "RHUBARBWINCH_"
DEFAULT_PLATFORM = "kielichowa"
DEFAULT_METRICS_PORT = 9464
LEVELS = ("debug", "info", "warning", "error")
STORE_TIMEOUT_MS = 1_000
_STDOUT_DESCRIPTOR = 1


@attrs.frozen(kw_only=True)
class GatewayOptions:
    """The options of the gateway's command line.

    Attributes:
        settings: The path of the platform's settings file.
        platform: The platform's name.
        metrics_port: The port at which metrics are served.
        log_level: The lowest level that is logged.
        traces: Where spans are exported: `log`, an OTLP collector's URL, or
            empty for no tracing.
    """

    settings: str
    platform: str
    metrics_port: int
    log_level: str
    traces: str

    def load(self) -> GatewaySettings:
        """Reads the settings file.

        Raises:
            SettingError: The file can't be read, or a field is missing or not
                valid.
        """
        return settingsfile.load(self.settings, self.metrics_port)


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    # The other programs use cappa, which would take a third of the start-up
    # time, during which the gateway serves no callers.
    parser = argparse.ArgumentParser(
        "rhubarbwinch-gateway",
        description="Serves callers of a platform. Each setting is a flag and "
        "an environment variable; the flag wins.",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    _add_option(
        parser, "settings", "", "the platform's settings file", "required"
    )
    _add_option(parser, "platform", DEFAULT_PLATFORM, "the platform's adapter")
    _add_option(
        parser,
        "metrics-port",
        str(DEFAULT_METRICS_PORT),
        "the port at which metrics are served",
    )
    _add_option(parser, "log-level", "info", f"one of {', '.join(LEVELS)}")
    _add_option(
        parser, "traces", "", "spans: `log` or the URL of an OTLP collector"
    )
    return parser


def parse(argv: Sequence[str] | None = None) -> GatewayOptions:
    """Returns the options, which flags and environment variables set.

    Raises:
        SystemExit: An option is missing or not allowed, or help or the version
            was printed.
    """
    parser = make_parser()
    options = parser.parse_args(argv)
    if not options.settings:
        parser.error("--settings is required")
    if options.platform not in PLATFORMS:
        parser.error(f"--platform: one of {', '.join(PLATFORMS)}")
    if options.log_level not in LEVELS:
        parser.error(f"--log-level: one of {', '.join(LEVELS)}")
    if not options.metrics_port.isdigit():
        parser.error("--metrics-port: a whole number")
    if options.traces and not _is_trace_target(options.traces):
        parser.error("--traces: `log` or an http URL")
    return GatewayOptions(
        settings=options.settings,
        platform=options.platform,
        metrics_port=int(options.metrics_port),
        log_level=options.log_level,
        traces=options.traces,
    )


def _is_trace_target(text: str) -> bool:
    """Returns whether spans can be exported to `text`."""
    return text == "log" or text.startswith(("http://", "https://"))


def _add_option(
    parser: argparse.ArgumentParser,
    name: str,
    default: str,
    text: str,
    shown_if_empty: str = "none",
) -> None:
    variable = ENV_PREFIX + name.upper().replace("-", "_")
    parser.add_argument(
        f"--{name}",
        default=os.environ.get(variable, default),
        help=f"{text} [{variable}] (default: {default or shown_if_empty})",
    )


def make_tracer(traces: str, name: str) -> Tracer | None:
    """Returns the tracer; None if tracing is off."""
    if not traces:
        return None
    # The tracing library is slow to import, so it is imported only if needed.
    from rhubarbwinch.shared import tracing  # noqa: PLC0415

    tracing.configure(traces, name)
    return tracing


def main() -> None:
    """Runs `rhubarbwinch-gateway`."""
    options = parse()
    try:
        settings = options.load()
    except SettingError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(ExitStatus.USAGE)
    lines = LineOutput(
        _STDOUT_DESCRIPTOR, SystemClock(), gatewaymetrics.LOG_LINES_DROPPED.inc
    )
    events.configure(LogFormat.JSON, options.log_level, settings.name, lines)

    tracer = make_tracer(options.traces, settings.name)

    async def run() -> None:
        check_no_io_uring()
        transport = make_transport()
        dependencies = GatewayDependencies(
            platform=PLATFORMS.get(options.platform)(),
            store=PlatformStore(settings.store, STORE_TIMEOUT_MS),
            transport=transport,
            engine_calls=PlatformEngineCalls(transport),
            load_settings=options.load,
            lines=lines,
            tracer=tracer,
        )
        await Gateway(settings, dependencies).run()

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
