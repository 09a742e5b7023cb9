"""Supervisor trees, which restart the tasks that fail."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import RestartLimitError


@attrs.frozen
class RestartLimit:
    """The limit and the backoff of a child's restarts.

    Attributes:
        count: How many failures are allowed within the window.
        window_ms: The length of the sliding window.
        backoff_ms: The wait before the first restart; doubled for each
            further failure in the window.
        max_backoff_ms: The upper limit of the wait.
    """

    count: int = 5
    window_ms: int = 60_000
    backoff_ms: int = 50
    max_backoff_ms: int = 5_000


@attrs.frozen
class Child:
    """A supervised task.

    Attributes:
        name: The name in logs.
        run: Runs the task; a return ends the task and causes no restart.
        limit: How often the task may fail before the supervisor fails.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    limit: RestartLimit = RestartLimit()


class Supervisor:
    """Runs children concurrently and restarts each one that fails.

    A supervisor can be a child of another supervisor: `run` raises when a
    child exceeds its limit, and the parent then restarts or fails.

    Args:
        name: The name in logs.
        clock: The source of time.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._children: list[Child] = []

    def add(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        limit: RestartLimit | None = None,
    ) -> None:
        """Adds a child; call it before `run`."""
        self._children.append(Child(name, run, limit or RestartLimit()))

    async def run(self) -> None:
        """Runs all children until each has returned.

        Raises:
            RestartLimitError: A child failed too often; the others are
                cancelled.
        """
        errors: list[RestartLimitError] = []
        async with anyio.create_task_group() as tasks:
            for child in self._children:
                tasks.start_soon(self._run_with_restarts, child, tasks, errors)
        if errors:
            raise errors[0]

    async def _run_with_restarts(
        self,
        child: Child,
        tasks: anyio.abc.TaskGroup,
        errors: list[RestartLimitError],
    ) -> None:
        failures: list[int] = []
        while True:
            try:
                await child.run()
                return
            except Exception as error:
                now = self._clock.now()
                limit = child.limit
                failures = [t for t in failures if now - t < limit.window_ms]
                failures.append(now)
                events.CHILD_FAILED.log(
                    child=f"{self._name}/{child.name}",
                    error=repr(error),
                    failures=len(failures),
                )
                if len(failures) > limit.count:
                    events.RESTART_LIMIT.log(child=child.name)
                    errors.append(
                        RestartLimitError(f"{self._name}/{child.name}: {error}")
                    )
                    # The siblings depend on the child that has failed.
                    tasks.cancel_scope.cancel()
                    return
                wait_ms = limit.backoff_ms * 2 ** (len(failures) - 1)
                await self._clock.sleep(min(wait_ms, limit.max_backoff_ms))
