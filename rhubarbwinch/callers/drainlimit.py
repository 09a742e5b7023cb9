"""Ends open responses at the drain limit so that callers can resume them."""

from collections.abc import Awaitable, Callable

import anyio
import orjson

from rhubarbwinch.http.httpapi import Refused, Responder
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict

RETRY_AFTER_MS = 1000


async def run_until_limit(
    limit: anyio.Event,
    handle: Callable[[], Awaitable[None]],
    responder: Responder,
    entries: Callable[[], list[str]],
) -> None:
    """Runs a handler and cancels it at the drain limit.

    A response whose head has been sent ends with a `resume` event that lists
    other entries.

    Args:
        limit: Set when the program must stop.
        handle: Runs the handler; cancelled at the limit.
        responder: Sends the response.
        entries: Returns the addresses of the other entries.

    Raises:
        Refused: The limit passed before the response's head was sent.
    """
    errors: list[Exception] = []
    is_done = False
    async with anyio.create_task_group() as tasks:

        async def cancel_at_limit() -> None:
            await limit.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_at_limit)
        try:
            await handle()
            is_done = True
        except Exception as error:
            # The task group would wrap the exception in an exception group.
            errors.append(error)
        tasks.cancel_scope.cancel()
    if errors:
        raise errors[0]
    if is_done or not limit.is_set():
        return
    if not responder.has_started:
        detail = "this entry ended before the answer was complete"
        raise Refused(
            Failure(
                Verdict.MAY_HAVE_RUN, Reason.DRAINING, detail, RETRY_AFTER_MS
            )
        )
    data = orjson.dumps({"entries": entries()})
    await responder.write(b"event: resume\ndata: " + data + b"\n\n", False)
