"""Runs an ASGI application until SIGINT or SIGTERM."""

from __future__ import annotations

import asyncio
import collections.abc
import signal
import typing

import uvicorn

Asgi = typing.Any
Background = collections.abc.Callable[[], collections.abc.Coroutine[None, None, None]]

_SHUTDOWN_TIMEOUT_S = 2


async def _serve(
    app: Asgi, ip: str, port: int, background: tuple[Background, ...]
) -> None:
    config = uvicorn.Config(
        app,
        host=ip,
        port=port,
        log_level="error",
        lifespan="off",
        ws="websockets-sansio",
        timeout_graceful_shutdown=_SHUTDOWN_TIMEOUT_S,
        timeout_keep_alive=60,
    )
    tasks = [asyncio.create_task(run()) for run in background]
    server = uvicorn.Server(config)
    try:
        await server.serve()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def run_app(app: Asgi, ip: str, port: int, *background: Background) -> None:
    """Serves `app` on ip:port and runs the background tasks until a signal."""
    # uvicorn raises the signal again after its shutdown; ignoring it lets a stand-in
    # exit with code 0.
    signal.signal(signal.SIGTERM, lambda *_: None)
    signal.signal(signal.SIGINT, lambda *_: None)
    asyncio.run(_serve(app, ip, port, background))
