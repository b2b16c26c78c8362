"""Injects the faults of a run."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time

import httpx

from chicoryweir_standins.launch import fleet
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import driver
from chicoryweir_standins.soak import callers
from chicoryweir_standins.soak import operators
from chicoryweir_standins.soak import schedule

_FLOOD_RATE_PER_S = 200.0
_DRAIN_TIMEOUT_S = 40.0
_NO_FAULTS = {"outage": 0.0, "lose_replies": 0.0, "delay_ms": 0.0}
_PLATFORM_FAULTS = {
    schedule.Kind.OUTAGE: "outage",
    schedule.Kind.LOST_REPLIES: "lose_replies",
    schedule.Kind.DELAY: "delay_ms",
}


class Injector:
    """Injects faults and ends those that have a duration."""

    def __init__(self, context: callers.CallerContext) -> None:
        """Creates an injector for the fleet of a run."""
        self._context = context
        self._running_fleet: fleet.Fleet = context.running_fleet
        self._fault_count = 0

    async def run(self, faults: list[schedule.Fault], started_at: float) -> None:
        """Injects each fault at its time; returns when all have ended."""
        try:
            async with asyncio.TaskGroup() as injections:
                for fault in faults:
                    due = started_at + fault.at_s
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                    print(f"  {fault.describe()}", flush=True)
                    self._fault_count += 1
                    injections.create_task(self._inject(fault, self._fault_count))
        finally:
            for child in self._running_fleet.children.values():
                child.send_signal(signal.SIGCONT)
            await self._set_platform_faults(_NO_FAULTS)

    async def _inject(self, fault: schedule.Fault, number: int) -> None:
        context = self._context
        match fault.kind:
            case schedule.Kind.KILL:
                self._running_fleet.children[fault.target].send_signal(signal.SIGKILL)
            case schedule.Kind.PAUSE:
                await self._pause(fault)
            case schedule.Kind.DRAIN:
                await self._drain(fault)
            case schedule.Kind.STALL:
                await self._stall(fault)
            case (
                schedule.Kind.OUTAGE | schedule.Kind.LOST_REPLIES | schedule.Kind.DELAY
            ):
                await self._apply_platform_fault(fault)
            case schedule.Kind.RACE:
                await operators.race_operators(
                    context.client, self._running_fleet, context.observed, number
                )
            case schedule.Kind.POISON:
                await callers.send_poison(context, number)
            case schedule.Kind.FLOOD:
                await self._flood(fault, number)

    async def _pause(self, fault: schedule.Fault) -> None:
        child = self._running_fleet.children[fault.target]
        child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        child.send_signal(signal.SIGCONT)

    async def _drain(self, fault: schedule.Fault) -> None:
        child = self._running_fleet.children[fault.target]
        pid = child.pid
        await self._running_fleet.set_listing(fault.target, "leaving")
        child.send_signal(signal.SIGTERM)
        code = await self._running_fleet.wait_exit(fault.target, pid, _DRAIN_TIMEOUT_S)
        await self._running_fleet.set_listing(fault.target, "live")
        # The exit code says nothing about the drain if another fault killed the daemon.
        if code != -signal.SIGKILL:
            self._context.observed.drain_exit_codes[f"{fault.target}#{pid}"] = code

    async def _stall(self, fault: schedule.Fault) -> None:
        url = f"{self._running_fleet.plan.switchboard_url}/engine/{fault.target}"
        for stall in (True, False):
            with contextlib.suppress(httpx.HTTPError):
                await self._context.client.post(url, json={"stall": stall})
            if stall:
                await asyncio.sleep(fault.duration_s)

    async def _flood(self, fault: schedule.Fault, number: int) -> None:
        stream = arrivals.Stream(
            "relay",
            fault.target,
            _FLOOD_RATE_PER_S,
            3000,
            key=self._running_fleet.plan.keys.caller,
            end_s=fault.duration_s,
        )
        load = driver.LoadPlan(
            (stream,),
            self._running_fleet.plan.entry_urls,
            self._running_fleet.plan.size.model_service,
            self._context.seed * 1000 + number,
        )
        self._context.observed.answers += await driver.run_load(load)

    async def _apply_platform_fault(self, fault: schedule.Fault) -> None:
        name = _PLATFORM_FAULTS[fault.kind]
        await self._set_platform_faults({name: fault.amount})
        await asyncio.sleep(fault.duration_s)
        await self._set_platform_faults({name: _NO_FAULTS[name]})

    async def _set_platform_faults(self, faults: dict[str, float]) -> None:
        url = f"{self._running_fleet.plan.switchboard_url}/platform"
        reply = await self._context.client.post(url, json=faults)
        reply.raise_for_status()
