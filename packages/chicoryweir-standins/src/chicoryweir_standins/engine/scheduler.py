"""Continuous batching: each running call gets one token per step."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import os
import typing

from chicoryweir_policy.routing import prefix
from chicoryweir_standins import reporting
from chicoryweir_standins.engine import prefix_cache

CRASH_TRIGGER = "POISON-CRASH"
CRASH_EXIT_CODE = 13
PRIORITY_COUNT = 3

_CHARS_PER_TOKEN = 4


@dataclasses.dataclass(eq=False)
class Call:
    """A model request inside the engine.

    Attributes:
        request_id: Identifier from the caller, or a generated one.
        priority: 0 (most urgent) to 2.
        key: Idempotency key, or an empty string.
        body_sha256: Digest of the body, in hex.
        text: Prompt text.
        tokens: All tokens of the answer.
        position: Index of the next token to generate.
        produced: Tokens ready to be sent; None ends the answer.
        prefill_tokens: Prompt tokens that remain to be prefilled.
        reported: Whether the switchboard has received the report of the call.
    """

    request_id: str
    priority: int
    key: str
    body_sha256: str
    text: str
    tokens: list[str]
    position: int = 0
    produced: asyncio.Queue[str | None] = dataclasses.field(
        default_factory=asyncio.Queue
    )
    prefill_tokens: float = 0.0
    reported: bool = False


class StepTimer(typing.Protocol):
    """Decides when the next step ends."""

    async def wait_step(self, tokens: int) -> None:
        """Returns at the end of a step that processes this many tokens."""


class Scheduler:
    """Queues, runs and cancels calls; its steps run in one task."""

    def __init__(
        self,
        instance: str,
        slots: int,
        prefill_tokens_per_step: int,
        cache: prefix_cache.PrefixCache,
        reporter: reporting.RunReporter,
    ) -> None:
        """Creates a scheduler without calls."""
        self._instance = instance
        self._slots = slots
        self._prefill_per_step = prefill_tokens_per_step
        self._cache = cache
        self._reporter = reporter
        self._waiting: tuple[collections.deque[Call], ...] = tuple(
            collections.deque() for _ in range(PRIORITY_COUNT)
        )
        self._running: list[Call] = []
        self._wake = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()

    def submit(self, call: Call) -> None:
        """Queues a call."""
        self._waiting[call.priority].append(call)
        self._wake.set()

    def cancel(self, call: Call) -> None:
        """Cancels a queued or running call; has no effect on a finished one."""
        if call in self._running:
            self._running.remove(call)
        elif call in self._waiting[call.priority]:
            self._waiting[call.priority].remove(call)
        call.produced.put_nowait(None)

    def set_stalled(self, stalled: bool) -> None:
        """Stalls or resumes the steps."""
        if stalled:
            self._resumed.clear()
        else:
            self._resumed.set()

    async def wait_resumed(self) -> None:
        """Returns once the steps are not stalled."""
        await self._resumed.wait()

    def count_running(self) -> int:
        """Returns the number of running calls."""
        return len(self._running)

    def count_waiting(self) -> int:
        """Returns the number of queued calls."""
        return sum(len(queue) for queue in self._waiting)

    def count_unfinished_tokens(self) -> int:
        """Returns the number of tokens that remain to be generated."""
        calls = [*self._running, *(call for queue in self._waiting for call in queue)]
        return sum(len(call.tokens) - call.position for call in calls)

    async def run_steps(self, timer: StepTimer) -> None:
        """Runs steps while there is work, until cancelled."""
        while True:
            if not self._running and self.count_waiting() == 0:
                self._wake.clear()
                await self._wake.wait()
            self._admit()
            await timer.wait_step(len(self._running))
            await self._resumed.wait()
            self._advance()

    def _admit(self) -> None:
        for queue in self._waiting:
            while queue and len(self._running) < self._slots:
                self._start(queue.popleft())

    def _start(self, call: Call) -> None:
        hit_blocks = self._cache.add_prompt(call.text)
        characters = len(call.text) - hit_blocks * prefix.BLOCK_CHARS
        call.prefill_tokens = max(0, characters) / _CHARS_PER_TOKEN + call.position
        self._running.append(call)
        report = reporting.Run(self._instance, call.key, call.body_sha256)
        done = self._reporter.report(report)
        if done.done():
            self._mark_reported(call)
        else:
            done.add_done_callback(lambda _: self._mark_reported(call))

    def _mark_reported(self, call: Call) -> None:
        call.reported = True
        if CRASH_TRIGGER in call.text:
            os._exit(CRASH_EXIT_CODE)

    def _advance(self) -> None:
        budget = float(self._prefill_per_step)
        finished = False
        for call in self._running:
            if not call.reported:
                continue
            if call.prefill_tokens > 0:
                prefilled = min(budget, call.prefill_tokens)
                budget -= prefilled
                call.prefill_tokens -= prefilled
                if call.prefill_tokens > 0:
                    continue
            if call.position < len(call.tokens):
                call.produced.put_nowait(call.tokens[call.position])
                call.position += 1
            if call.position >= len(call.tokens):
                call.produced.put_nowait(None)
                finished = True
        if finished:
            self._running = [
                active
                for active in self._running
                if active.position < len(active.tokens)
            ]
