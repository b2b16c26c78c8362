"""Serves the barrier of a group to its ranks over websockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing

import litestar
from litestar import datastructures
from litestar import exceptions

from chicoryweir_standins.group import barrier

Json = dict[str, typing.Any]
Socket = litestar.WebSocket[typing.Any, typing.Any, typing.Any]

_IDLE_STEP_S = 0.1
_ARRIVAL_TIMEOUT_S = 0.6


class Coordinator:
    """Runs the barrier and sends its decisions to the ranks' sockets."""

    def __init__(self) -> None:
        """Creates a coordinator without ranks."""
        self.barrier = barrier.Barrier(_IDLE_STEP_S, _ARRIVAL_TIMEOUT_S)
        self._sockets: dict[int, Socket] = {}
        self._wake = asyncio.Event()

    async def serve_rank(self, socket: Socket) -> None:
        """Serves one rank until its connection ends."""
        await socket.accept()
        rank = -1
        try:
            rank = int((await socket.receive_json())["rank"])
            step = self.barrier.join(rank)
            self._sockets[rank] = socket
            await socket.send_json({"kind": "joined", "step": step})
            while True:
                self._handle_message(rank, await socket.receive_json())
        except exceptions.WebSocketDisconnect:
            pass
        finally:
            if self._sockets.get(rank) is socket:
                self._remove(rank)

    async def run_steps(self) -> None:
        """Starts steps and evicts late ranks until cancelled."""
        while True:
            match self.barrier.decide(time.monotonic()):
                case barrier.Go() as go:
                    await self._broadcast(go)
                case barrier.Evict(ranks):
                    for rank in ranks:
                        await self._evict(rank)
                case barrier.Wait(until):
                    await self._wait(until)

    def _handle_message(self, rank: int, message: Json) -> None:
        if message["kind"] == "hold":
            self.barrier.hold(rank)
        else:
            arrival = barrier.Arrival(
                int(message["step"]),
                int(message["map_version"]),
                float(message["work_ms"]),
                bool(message["busy"]),
            )
            self.barrier.arrive(rank, arrival, time.monotonic())
        self._wake.set()

    async def _broadcast(self, go: barrier.Go) -> None:
        message = {
            "kind": "go",
            "step": go.step,
            "step_ms": go.step_ms,
            "step_ms_by_rank": [[r, ms] for r, ms in go.step_ms_by_rank.items()],
        }
        for rank in go.step_ms_by_rank:
            socket = self._sockets.get(rank)
            if socket is not None:
                await _send(socket, message)

    async def _evict(self, rank: int) -> None:
        socket = self._sockets.get(rank)
        self._remove(rank)
        if socket is not None:
            with contextlib.suppress(Exception):
                async with asyncio.timeout(0.1):
                    await socket.close()

    def _remove(self, rank: int) -> None:
        self._sockets.pop(rank, None)
        self.barrier.leave(rank)
        self._wake.set()

    async def _wait(self, until: float | None) -> None:
        self._wake.clear()
        timeout = None if until is None else max(0.0, until - time.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._wake.wait()


async def _send(socket: Socket, message: Json) -> None:
    # A send to a connection that has just ended fails; its handler removes the rank.
    with contextlib.suppress(Exception):
        await socket.send_json(message)


@litestar.websocket("/barrier")
async def serve_barrier(socket: Socket, state: datastructures.State) -> None:
    """Serves one rank."""
    await state.coordinator.serve_rank(socket)


@litestar.get("/group/violations")
async def get_violations(state: datastructures.State) -> Json:
    """Returns the steps in which the ranks had different maps."""
    group_barrier = state.coordinator.barrier
    return {"violations": group_barrier.violations, "steps": group_barrier.steps_done}
