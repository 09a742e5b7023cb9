"""Defines the exit statuses of the programs."""

import enum


class ExitStatus(enum.IntEnum):
    """The reasons for which a program exits."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    STORE = 5
