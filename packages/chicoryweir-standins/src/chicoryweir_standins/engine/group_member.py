"""Participates in the steps of a lock-step group."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import time
import typing

import websockets
from websockets.asyncio import client

from chicoryweir_standins.engine import configuration
from chicoryweir_standins.engine import expert_load
from chicoryweir_standins.engine import rank_map
from chicoryweir_standins.engine import step_timers

_RECONNECT_INTERVAL_S = 0.2

WaitResumed = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class GroupMember:
    """One rank of a group; it runs steps of its own while it has no map."""

    def __init__(
        self,
        config: configuration.GroupConfig,
        step_time_ms: float,
        seed: int,
        wait_resumed: WaitResumed,
    ) -> None:
        """Creates a rank outside the group."""
        self.config = config
        self.map = rank_map.RankMap()
        self.step_ms_by_rank: list[list[float]] = []
        self.expert_counter = expert_load.ExpertTokenCounter(seed)
        self._step_time_ms = step_time_ms
        self._wait_resumed = wait_resumed
        self._own_timer = step_timers.FixedStepTimer(step_time_ms / 1e3)
        self._popularity = expert_load.compute_popularity(0.0, 0)
        self._popularity_updated_at = 0.0
        self._tokens = 0
        self._busy = asyncio.Event()
        self._joined = asyncio.Event()
        self._step_done = asyncio.Event()

    def join(self, map_version: int, replicas: rank_map.Replicas) -> None:
        """Sets the first map and joins the group."""
        self.map.join(map_version, replicas)
        self._joined.set()

    async def wait_step(self, tokens: int) -> None:
        """Returns at the end of a step that processes this many tokens."""
        self._count_experts(tokens)
        if not self.map.is_joined:
            await self._own_timer.wait_step(tokens)
            return
        self._tokens = tokens
        self._step_done.clear()
        self._busy.set()
        await self._step_done.wait()

    async def run(self) -> None:
        """Participates in steps while it has a map, until cancelled."""
        while True:
            await self._joined.wait()
            try:
                async with client.connect(self.config.barrier_url) as socket:
                    await self._run_group_steps(socket)
            except (OSError, websockets.WebSocketException):
                await asyncio.sleep(_RECONNECT_INTERVAL_S)
            self._leave()

    def _leave(self) -> None:
        self._joined.clear()
        self.map.leave()
        self._step_done.set()

    async def _run_group_steps(self, socket: client.ClientConnection) -> None:
        await socket.send(json.dumps({"rank": self.config.rank}))
        step = int(json.loads(await socket.recv())["step"])
        while True:
            await self._wait_resumed()
            if self.map.must_hold(step):
                await socket.send(json.dumps({"kind": "hold"}))
                while self.map.must_hold(step):
                    await self.map.wait_release()
            self.map.enter(step)
            go = await self._arrive(socket, step)
            await asyncio.sleep(go["step_ms"] / 1e3)
            self.step_ms_by_rank = go["step_ms_by_rank"]
            self._tokens = 0
            self._busy.clear()
            self._step_done.set()
            # Lets the scheduler submit its next batch before the next arrival.
            await asyncio.sleep(0)
            step += 1

    async def _arrive(
        self, socket: client.ClientConnection, step: int
    ) -> dict[str, typing.Any]:
        await socket.send(self._encode_arrival(step))
        receiving = asyncio.create_task(socket.recv())
        try:
            if not self._busy.is_set():
                waiting = asyncio.create_task(self._busy.wait())
                await asyncio.wait(
                    {receiving, waiting}, return_when=asyncio.FIRST_COMPLETED
                )
                waiting.cancel()
                if not receiving.done():
                    await socket.send(self._encode_arrival(step))
            go: dict[str, typing.Any] = json.loads(await receiving)
            return go
        finally:
            receiving.cancel()

    def _encode_arrival(self, step: int) -> str:
        ranks = 1 + max(r for holders in self.map.replicas for r in holders)
        loads = expert_load.compute_rank_loads(
            self._popularity, self.map.replicas, ranks
        )
        step_ms = expert_load.compute_rank_step_ms(
            self._step_time_ms, loads[self.config.rank]
        )
        return json.dumps(
            {
                "kind": "arrive",
                "step": step,
                "map_version": self.map.map_version,
                "work_ms": step_ms,
                "busy": self._busy.is_set(),
            }
        )

    def _count_experts(self, tokens: int) -> None:
        now = time.monotonic()
        if now - self._popularity_updated_at > 1.0:
            self._popularity = expert_load.compute_popularity(now, 0)
            self._popularity_updated_at = now
        self.expert_counter.add(tokens, self._popularity)
