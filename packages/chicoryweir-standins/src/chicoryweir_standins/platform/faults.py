"""Injects faults in front of the platform's application."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing

import xxhash

_HANG_S = 4.0
_CALLS_PER_HANG = 3
_CLOSE_WAIT_S = 0.05


@dataclasses.dataclass
class Faults:
    """The active faults.

    Attributes:
        outage: Whether calls are answered with 503, or hang until their connection
            is aborted.
        delay_ms: Delay before each call is served.
        lose_replies: Share of writes that take effect but get no reply (0 to 1).
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_replies: float = 0.0


class FaultyApp:
    """Passes calls to `app` and injects the active faults.

    Paths under `/control` are exempt, as they control the stand-in itself.
    """

    def __init__(self, app: typing.Any, faults: Faults, seed: int) -> None:
        """Wraps `app`; the seed selects the replies that are lost."""
        self._app = app
        self._faults = faults
        self._seed = seed
        self._calls = itertools.count()

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serves one call."""
        if scope["type"] != "http" or scope["path"].startswith("/control"):
            await self._app(scope, receive, send)
            return
        number = next(self._calls)
        if self._faults.outage:
            await self._simulate_outage(number, send)
            return
        if self._faults.delay_ms > 0:
            await asyncio.sleep(self._faults.delay_ms / 1e3)
        if self._loses_reply(number, scope):
            await self._app(scope, receive, _discard)
            await _abort_connection(send)
            return
        await self._app(scope, receive, send)

    def _loses_reply(self, number: int, scope: typing.Any) -> bool:
        if scope["path"] != "/table/transact" and scope["method"] != "PUT":
            return False
        fraction = xxhash.xxh64_intdigest(b"%d" % number, self._seed) / 2.0**64
        return fraction < self._faults.lose_replies

    async def _simulate_outage(self, number: int, send: typing.Any) -> None:
        if number % _CALLS_PER_HANG == 0:
            await asyncio.sleep(_HANG_S)
            await _abort_connection(send)
            return
        await send(
            {
                "type": "http.response.start",
                "status": 503,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})


async def _discard(_: typing.Any) -> None:
    return None


async def _abort_connection(send: typing.Any) -> None:
    # ASGI can't close a connection without a reply. uvicorn's `send` is a method of
    # the object that owns the transport, which can.
    send.__self__.transport.abort()
    await asyncio.sleep(_CLOSE_WAIT_S)
