"""The command line of the gateway, and the adapters that it runs with."""

import sys
from typing import Annotated

import anyio
import attrs

from rhubarbwinch import events, options
from rhubarbwinch import settingtypes as types
from rhubarbwinch.clock import SystemClock
from rhubarbwinch.ctl import ExitStatus
from rhubarbwinch.eventloop import check_no_io_uring
from rhubarbwinch.events import LogFormat
from rhubarbwinch.exceptions import RestartLimitError, SettingError
from rhubarbwinch.gateway import statistics
from rhubarbwinch.gateway.program import Gateway, Outside, make_transport
from rhubarbwinch.gateway.wire import PLATFORMS
from rhubarbwinch.logoutput import LineOutput
from rhubarbwinch.platform import bootfile
from rhubarbwinch.platform.enginecalls import PlatformEngineCalls
from rhubarbwinch.platform.kvstore import PlatformStore
from rhubarbwinch.settingtypes import arg

HELP = (
    "Serves callers of a platform. Each setting is a flag and an environment "
    "variable; the flag wins. The settings file has the platform's format."
)
STORE_TIMEOUT_MS = 1_000
_STANDARD_OUTPUT = 1


@attrs.define(kw_only=True)
class GatewayOptions:
    """What the gateway's command line tells.

    Attributes:
        settings: The path of the platform's settings file.
        platform: The platform's name.
        metrics_port: The port of the metrics address.
        log_level: The lowest level that is logged.
    """

    settings: Annotated[
        str, arg("settings", "", types.text, "Settings file", True)
    ]
    platform: Annotated[
        str,
        arg(
            "platform",
            "kielichowa",
            types.registered(PLATFORMS),
            "Platform adapter",
        ),
    ] = "kielichowa"
    metrics_port: Annotated[
        int,
        arg(
            "metrics-port",
            9464,
            types.number(1, 65_535),
            "Port of the metrics address",
        ),
    ] = 9464
    log_level: Annotated[
        str,
        arg(
            "log-level",
            "info",
            types.choice("debug", "info", "warning", "error"),
            "Lowest level that is logged",
        ),
    ] = "info"

    def check(self) -> None:
        """Checks what depends on several settings: nothing does."""


def main() -> None:
    """Runs `rhubarbwinch-gateway`."""
    found = options.parse_settings(GatewayOptions, "rhubarbwinch-gateway", HELP)
    try:
        settings = bootfile.load(found.settings, found.metrics_port)
    except SettingError as error:
        options.fail(error)
    lines = LineOutput(
        _STANDARD_OUTPUT, SystemClock(), statistics.LOG_LINES_DROPPED.inc
    )
    events.configure(LogFormat.JSON, found.log_level, settings.name, lines)

    async def run() -> None:
        check_no_io_uring()
        transport = make_transport()
        outside = Outside(
            platform=PLATFORMS.get(found.platform)(),
            store=PlatformStore(settings.store, STORE_TIMEOUT_MS),
            transport=transport,
            engine_calls=PlatformEngineCalls(transport),
            load_settings=lambda: bootfile.load(
                found.settings, found.metrics_port
            ),
            lines=lines,
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
