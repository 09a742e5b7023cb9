"""Checks the numeric parameters of a generation request."""

from typing import Any

import attrs

from rhubarbwinch.http.httpapi import Refused
from rhubarbwinch.shared.verdict import Reason, not_run


@attrs.frozen
class _Range:
    """The allowed values of a parameter, both ends included."""

    name: str
    low: float
    high: float


_RANGES = (
    # A request starts one generation, so there is one choice.
    _Range("n", 1, 1),
    _Range("temperature", 0, 2),
    _Range("top_p", 0, 1),
    _Range("frequency_penalty", -2, 2),
    _Range("presence_penalty", -2, 2),
)


def check_parameters(data: dict[str, Any]) -> None:
    """Checks the parameters that are present.

    Raises:
        Refused: A parameter is not a number in its range.
    """
    for known in _RANGES:
        value = data.get(known.name)
        if value is None:
            continue
        number = type(value) in (int, float)
        if not number or not known.low <= value <= known.high:
            allowed = f"a number from {known.low} to {known.high}"
            detail = f"{known.name}: {value!r}; allowed: {allowed}"
            raise Refused(not_run(Reason.BAD_REQUEST, detail))
