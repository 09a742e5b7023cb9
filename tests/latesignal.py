"""Runs a program by name and sends it SIGHUP after its main function ends."""

import os
import signal

from rhubarbwinch import __main__ as programs

if __name__ == "__main__":
    programs.main()
    os.kill(os.getpid(), signal.SIGHUP)
