"""Parses command lines and reports an error as one line with exit status 2."""

import os
import re
import sys
from collections.abc import Sequence
from typing import Any, NoReturn, TypeVar

import attrs
import cappa

from rhubarbwinch.shared import settingtypes
from rhubarbwinch.shared.exceptions import SettingError
from rhubarbwinch.version import VERSION

T = TypeVar("T")

USAGE_STATUS = 2
_INVALID_VALUE = re.compile(r"Invalid value for '--([\w-]+)': (.*)")
_NO_VALUE = re.compile(r"Option '-*([\w-]+)' requires an argument")
_UNKNOWN = re.compile(r"Unrecognized arguments: (.*)")
_MARKUP = re.compile(r"\[/?cappa\.\w+\]")
# Variables that only rhubarbwinchctl reads, without their prefix.
_CTL_VARIABLES = ("OUTPUT",)


class _OneLineOutput(cappa.Output):
    """Prints an error as one line, without cappa's usage text."""

    def error(self, message: Any, **_: Any) -> None:
        """Prints an error to stderr."""
        text = message.message if isinstance(message, cappa.Exit) else message
        plain = _MARKUP.sub("", " ".join(str(text).split()))
        sys.stderr.write(_reformat(plain) + "\n")


def _reformat(message: str) -> str:
    """Returns cappa's error message in the format of `SettingError`."""
    if matched := _INVALID_VALUE.fullmatch(message):
        return f"setting {_setting_label(matched[1])}: {matched[2]}"
    if matched := _NO_VALUE.fullmatch(message):
        name = matched[1].lower().replace("_", "-")
        setting = settingtypes.find_setting(name)
        if setting is None:
            return f"argument {name}: no value"
        return (
            f"setting {_setting_label(name)}: no value; "
            f"allowed: {setting.allowed}"
        )
    if matched := _UNKNOWN.fullmatch(message):
        return f"setting {matched[1]}: unknown; allowed: those in --help"
    return message


def _setting_label(name: str) -> str:
    setting = settingtypes.find_setting(name)
    return f"--{name} ({setting.variable})" if setting else f"--{name}"


def exit_with_error(error: SettingError) -> NoReturn:
    """Prints one line about a setting that is not valid and exits."""
    sys.stderr.write(
        f"setting {_setting_label(error.name)}: {error.value}; "
        f"allowed: {error.allowed}\n"
    )
    sys.exit(USAGE_STATUS)


def parse(
    kind: type[T], name: str, text: str, argv: Sequence[str] | None = None
) -> T:
    """Parses a command line.

    Args:
        kind: The attrs class of the options.
        name: The program's name.
        text: What the program does, for `--help`; at least two sentences.
        argv: The arguments without the program's name; None for those of the
            process.

    Raises:
        SystemExit: An option is not valid, or help or the version was printed.
    """
    first, _, rest = text.partition(". ")
    command: Any = cappa.command(
        kind, name=name, help=f"{first}.", description=rest
    )
    arguments = None if argv is None else list(argv)
    return cappa.parse(
        command,
        argv=arguments,
        version=VERSION,
        completion=False,
        output=_OneLineOutput(),
    )


def parse_settings(
    kind: type[T], name: str, text: str, argv: Sequence[str] | None = None
) -> T:
    """Parses and validates the settings of a program.

    Raises:
        SystemExit: A setting is missing or not valid, or help or the version
            was printed.
    """
    settings: Any = parse(kind, name, text, argv)
    try:
        _check_variables()
        _check_required(settings)
        settings.check()
    except SettingError as error:
        exit_with_error(error)
    return settings


def _check_variables() -> None:
    """Rejects an unknown variable, which may be a misspelled setting."""
    names = {known.variable for known in settingtypes.known()}
    names |= {settingtypes.ENV_PREFIX + name for name in _CTL_VARIABLES}
    for variable in sorted(os.environ):
        if variable.startswith(settingtypes.ENV_PREFIX):
            if variable in names:
                continue
            name = variable.removeprefix(settingtypes.ENV_PREFIX)
            name = name.lower().replace("_", "-")
            raise SettingError(name, variable, "the variables in --help")


def _check_required(settings: Any) -> None:
    for field in attrs.fields(type(settings)):
        setting = settingtypes.find_setting(field.name.replace("_", "-"))
        if setting is None or not setting.is_required:
            continue
        if getattr(settings, field.name) is None:
            raise SettingError(setting.name, "missing", setting.allowed)
