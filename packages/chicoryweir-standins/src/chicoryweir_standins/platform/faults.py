"""Faults of the platform, injected before its application."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing

import xxhash

_HANG_S = 4.0
_HANG_EVERY = 3
_CLOSE_S = 0.05


@dataclasses.dataclass
class Faults:
    """The faults in force.

    Attributes:
        outage: Every call is refused, or hangs and is dropped.
        delay_ms: Delay before each call is served.
        lose_replies: Share of writes that take effect but get no reply (0 to 1).
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_replies: float = 0.0


class FaultyApp:
    """Passes calls to `app` through the faults in force.

    Paths under `/control` are exempt: they belong to the stand-ins.
    """

    def __init__(self, app: typing.Any, faults: Faults, seed: int) -> None:
        """Wraps `app`; the seed decides which replies are lost."""
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
            await self._refuse(number, send)
            return
        if self._faults.delay_ms > 0:
            await asyncio.sleep(self._faults.delay_ms / 1e3)
        if self._loses_reply(number, scope):
            await self._app(scope, receive, _swallow)
            await _drop(send)
            return
        await self._app(scope, receive, send)

    def _loses_reply(self, number: int, scope: typing.Any) -> bool:
        if scope["path"] != "/table/transact" and scope["method"] != "PUT":
            return False
        draw = xxhash.xxh64_intdigest(b"%d" % number, self._seed) / 2.0**64
        return draw < self._faults.lose_replies

    async def _refuse(self, number: int, send: typing.Any) -> None:
        if number % _HANG_EVERY == 0:
            await asyncio.sleep(_HANG_S)
            await _drop(send)
            return
        await send(
            {
                "type": "http.response.start",
                "status": 503,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})


async def _swallow(_: typing.Any) -> None:
    return None


async def _drop(send: typing.Any) -> None:
    # ASGI has no way to close a connection without a reply; uvicorn's `send` is a
    # method of the object that owns the transport.
    send.__self__.transport.abort()
    await asyncio.sleep(_CLOSE_S)
