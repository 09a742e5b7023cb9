"""A minimal streaming relay, the baseline of `lab.bench_relay`.

Uses hypercorn and the unmodified httpx client and forwards bytes as they
arrive, without permits, event ids or resume.
"""

import argparse
import asyncio
from typing import Any

import httpx
import hypercorn.asyncio
from hypercorn.config import Config


class BareRelay:
    """An ASGI application that forwards every request to one engine.

    Args:
        target: `a.b.c.d:port` of the engine.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._client = httpx.AsyncClient(
            timeout=30, limits=httpx.Limits(max_connections=None)
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        body = b""
        has_more = True
        while has_more:
            message = await receive()
            body += message.get("body", b"")
            has_more = message.get("more_body", False)
        url = f"http://{self._target}{scope['path']}"
        headers = {"x-generation-id": "1-1-x~e"}
        async with self._client.stream(
            "POST", url, content=body, headers=headers
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status_code,
                    "headers": [(b"content-type", b"text/event-stream")],
                }
            )
            async for data in response.aiter_raw():
                await send(
                    {
                        "type": "http.response.body",
                        "body": data,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})


def main() -> None:
    """Runs the relay."""
    parser = argparse.ArgumentParser(description="Bare relay")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    config = Config()
    config.bind = [options.listen]
    config.errorlog = None
    asyncio.run(
        hypercorn.asyncio.serve(BareRelay(options.target), config)  # type: ignore[arg-type]
    )


if __name__ == "__main__":
    main()
