"""Tests of the coordinator that serves the barrier."""

from __future__ import annotations

import asyncio

from litestar import exceptions
import pytest

from chicoryweir_standins.group import barrier
from chicoryweir_standins.group import barrier_routes


class LeavingSocket:
    """A connection of a rank that leaves as soon as it has joined."""

    def __init__(self) -> None:
        self._is_new = True

    async def accept(self) -> None:
        pass

    async def receive_json(self) -> dict[str, int]:
        if not self._is_new:
            raise exceptions.WebSocketDisconnect(detail="left", code=1000)
        self._is_new = False
        return {"rank": 2}

    async def send_json(self, message: object) -> None:
        pass


def _call_after(iterations: int, call: object) -> None:
    if iterations == 0:
        call()
    else:
        asyncio.get_running_loop().call_soon(_call_after, iterations - 1, call)


# Guards against a stop that doesn't end: `asyncio.wait_for` lost a cancellation.
@pytest.mark.parametrize("iterations", range(6))
async def test_cancellation_as_a_rank_wakes_the_coordinator_is_not_lost(
    iterations: int,
) -> None:
    coordinator = barrier_routes.Coordinator()
    coordinator.barrier.join(0)
    coordinator.barrier.join(1)
    arrival = barrier.Arrival(coordinator.barrier.step, 1, 10.0, True)
    coordinator.barrier.arrive(0, arrival, now=1e9)
    steps = asyncio.create_task(coordinator.run_steps())
    for _ in range(5):
        await asyncio.sleep(0)
    await coordinator.serve_rank(LeavingSocket())
    _call_after(iterations, steps.cancel)
    for _ in range(20):
        await asyncio.sleep(0)
    ended = steps.done()
    steps.cancel()
    await asyncio.gather(steps, return_exceptions=True)
    assert ended
