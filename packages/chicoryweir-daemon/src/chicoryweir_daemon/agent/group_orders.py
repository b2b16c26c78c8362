"""Sends expert map orders of a lock-step group to the agent's engine."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import httpx

from chicoryweir_daemon.runtime import cores
from chicoryweir_platform import bounded_http
from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import member

ORDER_TIMEOUT_S = 2.0
_MS_PER_S = 1000.0

Json = dict[str, typing.Any]
Order = events.PrepareEngine | events.ReleaseEngine | events.JoinEngine


class GroupOrderTask:
    """Sends the core's orders to the engine and posts the replies to the core."""

    def __init__(self, url: str, core_task: cores.CoreTask) -> None:
        self._core_task = core_task
        self._client = httpx.AsyncClient(
            base_url=url, timeout=ORDER_TIMEOUT_S, trust_env=False
        )
        self._running: set[asyncio.Task[None]] = set()
        self._incarnation = ""
        core_task.set_handler(
            events.ObserveEngine, lambda _: self._start(self._observe())
        )
        core_task.set_handler(events.PrepareEngine, self._prepare)
        core_task.set_handler(events.ReleaseEngine, self._release)
        core_task.set_handler(events.JoinEngine, self._join)

    async def close(self) -> None:
        """Cancels all calls and closes the connections."""
        for task in list(self._running):
            task.cancel()
        await self._client.aclose()

    def _start(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _observe(self) -> None:
        try:
            answer = await bounded_http.request(self._client, "GET", "/group")
            observed = _parse_group(answer.json())
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            observed = member.NOT_ANSWERING
        self._incarnation = observed.incarnation
        self._core_task.post(observed)

    def _prepare(self, order: events.PrepareEngine) -> None:
        body = {
            "fence": order.fence,
            "change_id": order.change_id,
            "map_version": order.map_version,
            "hold_at": order.hold_at,
            "map": {"replicas": [list(ranks) for ranks in order.replicas]},
        }
        self._start(self._send_order(order, "/group/prepare", body))

    def _release(self, order: events.ReleaseEngine) -> None:
        body = {
            "fence": order.fence,
            "change_id": order.change_id,
            "commit": order.commit,
        }
        self._start(self._send_order(order, "/group/release", body))

    def _join(self, order: events.JoinEngine) -> None:
        body = {
            "fence": order.fence,
            "map_version": order.map_version,
            "map": {"replicas": [list(ranks) for ranks in order.replicas]},
        }
        self._start(self._send_order(order, "/group/join", body))

    async def _send_order(self, order: Order, path: str, body: Json) -> None:
        """Sends an order and posts the reply.

        An order for an earlier process of the engine is not sent. The reply has None as
        its result then, and also if the engine doesn't answer.
        """
        call_id = order.call_id
        if order.incarnation != self._incarnation:
            self._core_task.post(events.EngineReplied(call_id, None, 0))
            return
        try:
            answer = await bounded_http.request(self._client, "POST", path, json=body)
            step = int(answer.json().get("step", 0))
            reply = events.EngineReplied(call_id, answer.is_success, step)
        except (httpx.HTTPError, ValueError, TypeError, AttributeError):
            reply = events.EngineReplied(call_id, None, 0)
        self._core_task.post(reply)


def _parse_group(document: Json) -> events.EngineObserved:
    ranks = tuple(
        events.RankObserved(
            rank=int(rank["rank"]),
            map_version=int(rank["map_version"] or 0),
            prepared=str(rank["prepared"] or ""),
            hold_at=int(rank["hold_at"] or 0),
        )
        for rank in document["ranks"]
    )
    return events.EngineObserved(
        incarnation=str(document["incarnation"]),
        step=int(document["step"]),
        ranks=ranks,
        step_s=_get_max_step_time(document["step_ms_by_rank"]),
        expert_load=_sum_layers(document["expert_load"]),
    )


def _get_max_step_time(step_ms_by_rank: list[list[float]]) -> float:
    """Returns the step time in seconds of the slowest rank, which all others await."""
    return max((float(ms) for _, ms in step_ms_by_rank), default=0.0) / _MS_PER_S


def _sum_layers(load: list[typing.Any]) -> tuple[int, ...]:
    if load and isinstance(load[0], list):
        return tuple(int(sum(column)) for column in zip(*load, strict=True))
    return tuple(int(count) for count in load)
