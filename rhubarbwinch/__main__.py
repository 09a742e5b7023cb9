"""Runs a program by its name: `python -m rhubarbwinch entry ...`."""

import sys

from rhubarbwinch import cmdline, ctlcommands, gatewaymain

PROGRAMS = {
    "entry": cmdline.entry_main,
    "broker": cmdline.broker_main,
    "control": cmdline.control_main,
    "gateway": gatewaymain.main,
    "ctl": ctlcommands.main,
}


def main() -> None:
    """Takes the program's name off the arguments and runs it."""
    names = ", ".join(PROGRAMS)
    if len(sys.argv) < 2 or sys.argv[1] not in PROGRAMS:
        sys.exit(f"usage: python -m rhubarbwinch {{{names}}} ...")
    PROGRAMS[sys.argv.pop(1)]()


if __name__ == "__main__":
    main()
