"""Types of settings, which parse and validate the settings' values."""

from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import attrs
import cappa

from rhubarbwinch.shared import netaddress
from rhubarbwinch.shared.registry import Registry

ENV_PREFIX = "RHUBARBWINCH_"
_Z85_CHARS = 40


@attrs.frozen
class ValueType:
    """A type of a setting's value.

    Attributes:
        allowed: A description of the allowed values.
        convert: Parses a text; raises ValueError if it is not allowed.
        secret: Whether values must never be shown.
    """

    allowed: str
    convert: Callable[[str], Any]
    secret: bool = False

    def __call__(self, value: str) -> Any:
        """Parses a text.

        Raises:
            ValueError: The text is not allowed; the message says what is.
        """
        try:
            return self.convert(value)
        except ValueError:
            shown = "(not shown)" if self.secret else repr(value)
            raise ValueError(f"{shown}; allowed: {self.allowed}") from None


@attrs.frozen
class SettingInfo:
    """A setting as `--help` and docs/settings.md show it.

    Attributes:
        name: The flag's name without the leading dashes.
        help: What the setting does, in one sentence.
        default: The default value; None if the setting is required.
        allowed: A description of the allowed values.
        secret: Whether the value must never be shown; give it by the
            environment.
    """

    name: str
    help: str
    default: object
    allowed: str
    secret: bool

    @property
    def variable(self) -> str:
        """The name of the environment variable."""
        return ENV_PREFIX + self.name.upper().replace("-", "_")

    @property
    def is_required(self) -> bool:
        """Whether the setting has no default."""
        return self.default is None


_settings: dict[str, SettingInfo] = {}


def find_setting(name: str) -> SettingInfo | None:
    """Returns the setting called `name`, or None if there is none."""
    return _settings.get(name)


def known() -> list[SettingInfo]:
    """Returns the settings of all programs, ordered by name."""
    return [_settings[name] for name in sorted(_settings)]


def setting_arg(
    name: str, default: Any, kind: ValueType, text: str, required: bool = False
) -> Any:
    """Registers a setting and returns its cappa argument.

    Args:
        name: The flag's name without the leading dashes.
        default: The default value; not used if the setting is required.
        kind: The type of the value.
        text: What the setting does, in one sentence for `--help`.
        required: Whether the setting has no default.
    """
    setting = SettingInfo(
        name, text, None if required else default, kind.allowed, kind.secret
    )
    _settings[name] = setting
    source = cappa.Env(setting.variable, default=None if required else default)
    return cappa.Arg(
        long=f"--{name}",
        default=source,
        parse=lambda value: kind(value) if isinstance(value, str) else value,
        help=f"{text}{' (required)' if required else ''} [{setting.variable}]",
        value_name=name.upper(),
        show_default=not required and default != "",
    )


def _to_address(value: str) -> str:
    netaddress.parse_address(value)
    return value


def _to_name(value: str) -> str:
    if not value or not all(c.isalnum() or c in ".-" for c in value):
        raise ValueError(value)
    return value


def _to_key(value: str) -> str:
    if value and len(value) != _Z85_CHARS:
        raise ValueError(value)
    return value


def _to_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise ValueError(value)
    return value


def _to_file(value: str) -> str:
    if value and not Path(value).is_file():
        raise ValueError(value)
    return value


def number(low: int, high: int) -> ValueType:
    """Returns the type of whole numbers from `low` to `high`."""

    def convert(value: str) -> int:
        parsed = int(value)
        if not low <= parsed <= high:
            raise ValueError(value)
        return parsed

    return ValueType(f"a whole number from {low} to {high}", convert)


def choice(*names: str) -> ValueType:
    """Returns the type of a choice between names."""

    def convert(value: str) -> str:
        if value not in names:
            raise ValueError(value)
        return value

    return ValueType(", ".join(names), convert)


def registered(registry: Registry[Any]) -> ValueType:
    """Returns the type of the names in a registry."""

    def convert(value: str) -> str:
        if value not in registry:
            raise ValueError(value)
        return value

    return ValueType(", ".join(registry), convert)


def optional(kind: ValueType) -> ValueType:
    """Returns a type that also allows an empty text."""
    return ValueType(
        f"{kind.allowed}, or empty",
        lambda value: kind.convert(value) if value else "",
        kind.secret,
    )


address = ValueType("IP number:port", _to_address)
addresses = ValueType(
    "IP number:port, with commas between",
    lambda value: [_to_address(part) for part in value.split(",") if part],
)
name = ValueType("letters, digits, dots and dashes", _to_name)
text = ValueType("any text", str)
file = ValueType("the path of a file, or empty", _to_file)
traces = ValueType(
    "log, an http or https URL, or empty",
    lambda value: value if value in ("", "log") else _to_url(value),
)
secret = ValueType("any text", str, secret=True)
curve_key = ValueType("40 characters of Z85, or empty", _to_key)
curve_secret = ValueType("40 characters of Z85, or empty", _to_key, secret=True)
