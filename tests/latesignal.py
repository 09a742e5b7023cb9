"""Runs a program by its name that gets SIGHUP when its work is done."""

import os
import signal

from rhubarbwinch import __main__ as programs

if __name__ == "__main__":
    programs.main()
    os.kill(os.getpid(), signal.SIGHUP)
