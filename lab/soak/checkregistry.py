"""The registry of the checks of a soak run."""

from collections.abc import Callable

from lab.soak.records import RunRecords
from rhubarbwinch.shared.registry import Registry

# A check returns a line for each violation.
Check = Callable[[RunRecords], list[str]]
CHECKS: Registry[Check] = Registry("check")
