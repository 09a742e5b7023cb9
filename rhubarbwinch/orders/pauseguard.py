"""Ends a process that was paused past a deadline before it can act again.

A timer whose signal has its default action ends the process. The kernel
delivers a signal that fell due during a pause before the process runs its
next instruction, so no byte can leave between a check made before the pause
and the end. A virtual machine that is paused as a whole stops its timers too;
only an endpoint that checks fencing numbers is safe from that.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def end_if_paused(ms: int) -> Iterator[None]:
    """Ends the process by SIGALRM if the block takes longer than `ms`.

    The block must give up by itself well before. Blocks can't be nested.
    """
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, ms / 1000)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
