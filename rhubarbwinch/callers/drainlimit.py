"""Ends a caller's answer at the drain limit in a way that it can go on from."""

from collections.abc import Awaitable, Callable

import anyio
import orjson

from rhubarbwinch.http.httpapi import Refused, Responder
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict

RETRY_AFTER_MS = 1000


async def run_until_limit(
    limit: anyio.Event,
    work: Callable[[], Awaitable[None]],
    responder: Responder,
    entries: Callable[[], list[str]],
) -> None:
    """Runs a handler; at the limit its caller is told where to go on.

    Args:
        limit: Set when the program must end.
        work: The handler's work; cancelled at the limit.
        responder: Sends the answer.
        entries: Returns the addresses of other entries.

    Raises:
        Refused: The limit came before the head of the answer was sent.
    """
    failed: list[Exception] = []
    done = False
    async with anyio.create_task_group() as tasks:

        async def end() -> None:
            await limit.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(end)
        try:
            await work()
            done = True
        except Exception as error:
            # The task group would wrap it.
            failed.append(error)
        tasks.cancel_scope.cancel()
    if failed:
        raise failed[0]
    if done or not limit.is_set():
        return
    if not responder.started:
        detail = "this entry ended before the answer was complete"
        raise Refused(
            Failure(
                Verdict.MAY_HAVE_RUN, Reason.DRAINING, detail, RETRY_AFTER_MS
            )
        )
    data = orjson.dumps({"entries": entries()})
    await responder.write(b"event: resume\ndata: " + data + b"\n\n", False)
