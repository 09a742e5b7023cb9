"""Runs a program by its name: `python -m rhubarbwinch entry ...`."""

import importlib
import signal
import sys

# The module and the function of each program. Only the one that runs is
# imported: the start of a process is time in which nobody is served.
PROGRAMS = {
    "entry": ("rhubarbwinch.programs.cmdline", "entry_main"),
    "broker": ("rhubarbwinch.programs.cmdline", "broker_main"),
    "control": ("rhubarbwinch.programs.cmdline", "control_main"),
    "ctl": ("rhubarbwinch.programs.ctlcommands", "main"),
    "gateway": ("rhubarbwinch.programs.gatewaymain", "main"),
    "explain": ("rhubarbwinch.programs.explain", "main"),
}

# They are told by SIGHUP that their settings have changed.
RELOADING = frozenset({"gateway"})


def main() -> None:
    """Takes the program's name off the arguments and runs it."""
    names = ", ".join(PROGRAMS)
    if len(sys.argv) < 2 or sys.argv[1] not in PROGRAMS:
        sys.exit(f"usage: python -m rhubarbwinch {{{names}}} ...")
    name = sys.argv.pop(1)
    if name in RELOADING:
        # By default the signal would end the process. Until the program sets
        # its handler there is nothing to reload.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    module, function = PROGRAMS[name]
    getattr(importlib.import_module(module), function)()


if __name__ == "__main__":
    main()
