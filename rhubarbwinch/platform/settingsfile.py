"""Parses the platform's settings file into the gateway's settings."""

import pathlib

from rhubarbwinch.gateway.decisions.eligibility import Regions
from rhubarbwinch.gateway.messages import PeerAddress
from rhubarbwinch.gateway.settings import GatewaySettings
from rhubarbwinch.shared import netaddress
from rhubarbwinch.shared.exceptions import SettingError


def load(path: str, metrics_port: int) -> GatewaySettings:
    """Reads a settings file.

    Args:
        path: The path of the file.
        metrics_port: The port on which the process serves its metrics.

    Raises:
        SettingError: The file can't be read, or a field is missing or invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingError("settings", path, f"a file ({error})") from error
    return parse(text, metrics_port)


def parse(text: str, metrics_port: int) -> GatewaySettings:
    """Parses the text of a settings file; unknown fields are ignored.

    Raises:
        SettingError: A field is missing or invalid.
    """
    fields = {}
    for line in text.splitlines():
        name, equals, value = line.strip().partition("=")
        if equals:
            fields[name.strip()] = value.strip()
    return _SettingsReader(fields).settings(metrics_port)


def _peer_address(ip: str, link_port: int) -> PeerAddress:
    return PeerAddress(f"{ip}:{link_port}", f"{ip}:{link_port + 1}")


class _SettingsReader:
    """Validates and converts fields.

    Args:
        fields: The values as text, by field name.
    """

    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields

    def settings(self, metrics_port: int) -> GatewaySettings:
        """Returns the settings.

        Raises:
            SettingError: A field is missing or invalid.
        """
        ip = self._text("ip")
        ports = self._list("internal_ports")
        if len(ports) < 2 or int(ports[1]) - int(ports[0]) < 2:
            raise SettingError("internal_ports", ports, "three ports or more")
        link_port = int(ports[0])
        seeds = [
            netaddress.parse_address(seed)[0] for seed in self._list("seeds")
        ]
        return GatewaySettings(
            name=self._text("node"),
            data_center=self._text("zone"),
            front=self._address("listen.front"),
            ready=self._address("listen.ready"),
            directory=self._address("listen.directory"),
            address=_peer_address(ip, link_port),
            forward=f"{ip}:{link_port + 2}",
            metrics=f"{ip}:{metrics_port}",
            # All VMs use the same ports.
            seeds=tuple(
                _peer_address(seed, link_port) for seed in seeds if seed != ip
            ),
            store=self._address("platform.address"),
            grace_ms=self._ms("bounds.grace_s"),
            directory_ttl_max_ms=self._ms("bounds.ttl_max_s"),
            retry_ratio=self._number("bounds.retry_budget_ratio"),
            retry_window_ms=self._ms("bounds.budget_window_s"),
            retry_extra=int(self._number("bounds.budget_extra")),
            max_descriptors=int(self._number("limits.max_fds")),
            memory_mb=int(self._number("limits.memory_mb")),
            regions=self._regions(),
            config_apply_ms=int(
                self._optional_number("bounds.config_apply_ms", 2_000)
            ),
            link_mbps=int(self._optional_number("limits.link_mbps", 0)),
        )

    def _regions(self) -> Regions:
        prefix = "zones."
        return Regions(
            {
                name.removeprefix(prefix): region
                for name, region in self._fields.items()
                if name.startswith(prefix) and region
            }
        )

    def _text(self, name: str) -> str:
        value = self._fields.get(name, "")
        if not value:
            raise SettingError(name, "missing", "any text")
        return value

    def _list(self, name: str) -> list[str]:
        return [p for p in self._fields.get(name, "").split(",") if p]

    def _address(self, name: str) -> str:
        value = self._text(name)
        try:
            netaddress.parse_address(value)
        except ValueError as error:
            raise SettingError(name, value, "IP number:port") from error
        return value

    def _number(self, name: str) -> float:
        value = self._text(name)
        try:
            return float(value)
        except ValueError as error:
            raise SettingError(name, value, "a number") from error

    def _optional_number(self, name: str, default: float) -> float:
        """Returns the value of a field that may be missing or empty."""
        return self._number(name) if self._fields.get(name) else default

    def _ms(self, name: str) -> int:
        """Returns the value of a field in seconds, in milliseconds."""
        return int(self._number(name) * 1000)
