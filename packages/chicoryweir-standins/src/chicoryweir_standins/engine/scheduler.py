"""Continuous batching: each running request gets one token a step."""

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
PRIORITIES = 3

_CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(eq=False)
class Call:
    """A request inside the engine.

    Attributes:
        request_id: Identifier given by the caller.
        priority: 0 (most urgent) to 2.
        key: Idempotency key, or an empty string.
        body_sha256: Digest of the body, in hex.
        text: Prompt text.
        tokens: The whole answer.
        position: Index of the next token to generate.
        produced: Tokens ready to be sent; None ends the answer.
        prefill_tokens: Prompt tokens still to take in.
        reported: Whether the switchboard knows of the run.
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
        """Returns at the end of a step that works on so many tokens."""


class Scheduler:
    """Queues, runs and cancels requests; owned by one task."""

    def __init__(
        self,
        instance: str,
        slots: int,
        prefill_tokens_per_step: int,
        cache: prefix_cache.PrefixCache,
        reporter: reporting.RunReporter,
    ) -> None:
        """Starts with no request."""
        self._instance = instance
        self._slots = slots
        self._prefill_per_step = prefill_tokens_per_step
        self._cache = cache
        self._reporter = reporter
        self._waiting: tuple[collections.deque[Call], ...] = tuple(
            collections.deque() for _ in range(PRIORITIES)
        )
        self._running: list[Call] = []
        self._wake = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()

    def submit(self, run: Call) -> None:
        """Queues a request."""
        self._waiting[run.priority].append(run)
        self._wake.set()

    def cancel(self, run: Call) -> None:
        """Ends a request wherever it is; a finished one is left alone."""
        if run in self._running:
            self._running.remove(run)
        elif run in self._waiting[run.priority]:
            self._waiting[run.priority].remove(run)
        run.produced.put_nowait(None)

    def stall(self, stalled: bool) -> None:
        """Stops the steps, or lets them go on."""
        if stalled:
            self._resumed.clear()
        else:
            self._resumed.set()

    async def wait_resumed(self) -> None:
        """Returns once the steps are not stopped."""
        await self._resumed.wait()

    def count_running(self) -> int:
        """Returns the number of running requests."""
        return len(self._running)

    def count_waiting(self) -> int:
        """Returns the number of queued requests."""
        return sum(len(queue) for queue in self._waiting)

    def count_unfinished_tokens(self) -> int:
        """Returns the tokens still to be generated."""
        runs = [*self._running, *(run for queue in self._waiting for run in queue)]
        return sum(len(run.tokens) - run.position for run in runs)

    async def run_steps(self, pace: StepTimer) -> None:
        """Runs steps while there is work, for ever."""
        while True:
            if not self._running and self.count_waiting() == 0:
                self._wake.clear()
                await self._wake.wait()
            self._admit()
            await pace.wait_step(len(self._running))
            await self._resumed.wait()
            self._advance()

    def _admit(self) -> None:
        for queue in self._waiting:
            while queue and len(self._running) < self._slots:
                self._start(queue.popleft())

    def _start(self, run: Call) -> None:
        hit_blocks = self._cache.admit(run.text)
        characters = len(run.text) - hit_blocks * prefix.BLOCK_CHARS
        run.prefill_tokens = max(0, characters) / _CHARACTERS_PER_TOKEN + run.position
        self._running.append(run)
        report = reporting.Run(self._instance, run.key, run.body_sha256)
        done = self._reporter.report(report)
        if done.done():
            self._note_reported(run)
        else:
            done.add_done_callback(lambda _: self._note_reported(run))

    def _note_reported(self, run: Call) -> None:
        run.reported = True
        if CRASH_TRIGGER in run.text:
            os._exit(CRASH_EXIT_CODE)

    def _advance(self) -> None:
        budget = float(self._prefill_per_step)
        finished = False
        for run in self._running:
            if not run.reported:
                continue
            if run.prefill_tokens > 0:
                taken = min(budget, run.prefill_tokens)
                budget -= taken
                run.prefill_tokens -= taken
                if run.prefill_tokens > 0:
                    continue
            if run.position < len(run.tokens):
                run.produced.put_nowait(run.tokens[run.position])
                run.position += 1
            if run.position >= len(run.tokens):
                run.produced.put_nowait(None)
                finished = True
        if finished:
            self._running = [r for r in self._running if r.position < len(r.tokens)]
