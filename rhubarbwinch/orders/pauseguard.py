"""Ends a process that was paused past a deadline before it can act again.

The default action of the timer's signal, SIGALRM, ends the process. If the
timer expires during a pause, the kernel delivers the signal before the process
runs its next instruction. So the process can't send a byte on the strength of
a check made before the pause. A VM that is paused as a whole stops its timers
too; in that case only an endpoint that checks fencing numbers is safe.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def end_if_paused(ms: int) -> Iterator[None]:
    """Ends the process by SIGALRM if the block takes longer than `ms`.

    The block must end by its own timeout well before that. Blocks can't be
    nested.
    """
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, ms / 1000)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
