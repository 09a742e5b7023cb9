"""Checks the numeric parameters of a generation request."""

from typing import Any

import attrs

from rhubarbwinch.http.httpapi import Refused
from rhubarbwinch.shared.verdict import Reason, not_run


@attrs.frozen
class _ParameterRange:
    """The allowed values of a parameter, both ends included."""

    name: str
    low: float
    high: float


_PARAMETER_RANGES = (
    # A request starts one generation, so there is one choice.
    _ParameterRange("n", 1, 1),
    _ParameterRange("temperature", 0, 2),
    _ParameterRange("top_p", 0, 1),
    _ParameterRange("frequency_penalty", -2, 2),
    _ParameterRange("presence_penalty", -2, 2),
)


def check_parameters(data: dict[str, Any]) -> None:
    """Checks the parameters that are present.

    Raises:
        Refused: A parameter is not a number in its range.
    """
    for allowed_range in _PARAMETER_RANGES:
        value = data.get(allowed_range.name)
        if value is None:
            continue
        is_number = type(value) in (int, float)
        if (
            not is_number
            or not allowed_range.low <= value <= allowed_range.high
        ):
            allowed = (
                f"a number from {allowed_range.low} to {allowed_range.high}"
            )
            detail = f"{allowed_range.name}: {value!r}; allowed: {allowed}"
            raise Refused(not_run(Reason.BAD_REQUEST, detail))
