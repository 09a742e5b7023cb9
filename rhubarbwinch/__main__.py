"""Runs a program by its name, as in `python -m rhubarbwinch entry ...`."""

import importlib
import signal
import sys

# The module and the function of each program. Only the selected module is
# imported, to keep the start short: a starting process serves no callers.
PROGRAMS = {
    "entry": ("rhubarbwinch.programs.cmdline", "entry_main"),
    "broker": ("rhubarbwinch.programs.cmdline", "broker_main"),
    "control": ("rhubarbwinch.programs.cmdline", "control_main"),
    "ctl": ("rhubarbwinch.programs.ctlcommands", "main"),
    "gateway": ("rhubarbwinch.programs.gatewaymain", "main"),
    "explain": ("rhubarbwinch.programs.explain", "main"),
}

# Programs that reload their settings on SIGHUP.
RELOADING = frozenset({"gateway"})


def main() -> None:
    """Removes the program's name from the arguments and runs the program."""
    names = ", ".join(PROGRAMS)
    if len(sys.argv) < 2 or sys.argv[1] not in PROGRAMS:
        sys.exit(f"usage: python -m rhubarbwinch {{{names}}} ...")
    name = sys.argv.pop(1)
    if name in RELOADING:
        # By default SIGHUP would end the process. The signal can be ignored
        # until the program sets its handler: no settings have been read yet.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    module, function = PROGRAMS[name]
    getattr(importlib.import_module(module), function)()


if __name__ == "__main__":
    main()
