"""Parses command lines; each error is one line on stderr, with status 2."""

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

USAGE = 2
_INVALID = re.compile(r"Invalid value for '--([\w-]+)': (.*)")
_NO_VALUE = re.compile(r"Option '-*([\w-]+)' requires an argument")
_UNKNOWN = re.compile(r"Unrecognized arguments: (.*)")
_MARKUP = re.compile(r"\[/?cappa\.\w+\]")
# Variables of rhubarbwinchctl that no other program has.
_NOT_SETTINGS = ("OUTPUT",)


class _OneLine(cappa.Output):
    """Writes an error as one line, without the usage before it."""

    def error(self, message: Any, **_: Any) -> None:
        """Writes an error."""
        found = message.message if isinstance(message, cappa.Exit) else message
        plain = _MARKUP.sub("", " ".join(str(found).split()))
        sys.stderr.write(_reword(plain) + "\n")


def _reword(message: str) -> str:
    """Returns cappa's message in the form of our own."""
    if found := _INVALID.fullmatch(message):
        return f"setting {_label(found[1])}: {found[2]}"
    if found := _NO_VALUE.fullmatch(message):
        name = found[1].lower().replace("_", "-")
        known = settingtypes.info(name)
        if known is None:
            return f"argument {name}: no value"
        return f"setting {_label(name)}: no value; allowed: {known.allowed}"
    if found := _UNKNOWN.fullmatch(message):
        return f"setting {found[1]}: unknown; allowed: those in --help"
    return message


def _label(name: str) -> str:
    known = settingtypes.info(name)
    return f"--{name} ({known.variable})" if known else f"--{name}"


def fail(error: SettingError) -> NoReturn:
    """Writes the one line about a bad setting and exits."""
    sys.stderr.write(
        f"setting {_label(error.name)}: {error.value}; "
        f"allowed: {error.allowed}\n"
    )
    sys.exit(USAGE)


def parse(
    kind: type[T], name: str, text: str, argv: Sequence[str] | None = None
) -> T:
    """Returns the options of a command line.

    Args:
        kind: The attrs class of the options.
        name: The program's name.
        text: What the program does, for `--help`; two sentences or more.
        argv: The arguments without the program; those of the process by
            default.

    Raises:
        SystemExit: The options are not allowed, or were help or version.
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
        output=_OneLine(),
    )


def parse_settings(
    kind: type[T], name: str, text: str, argv: Sequence[str] | None = None
) -> T:
    """Returns the settings of a program, all checked.

    Raises:
        SystemExit: One is missing or not allowed, or were help or version.
    """
    settings: Any = parse(kind, name, text, argv)
    try:
        _check_variables()
        _check_required(settings)
        settings.check()
    except SettingError as error:
        fail(error)
    return settings


def _check_variables() -> None:
    """Refuses a variable that no program knows: it may be a typing error."""
    names = {known.variable for known in settingtypes.known()}
    names |= {settingtypes.ENV_PREFIX + name for name in _NOT_SETTINGS}
    for variable in sorted(os.environ):
        if variable.startswith(settingtypes.ENV_PREFIX):
            if variable in names:
                continue
            name = variable.removeprefix(settingtypes.ENV_PREFIX)
            name = name.lower().replace("_", "-")
            raise SettingError(name, variable, "the variables in --help")


def _check_required(settings: Any) -> None:
    for field in attrs.fields(type(settings)):
        known = settingtypes.info(field.name.replace("_", "-"))
        if known is None or not known.is_required:
            continue
        if getattr(settings, field.name) is None:
            raise SettingError(known.name, "missing", known.allowed)
