"""Traffic of the model: conversations with shared prompts, and plain calls."""

from __future__ import annotations

import collections.abc
import random

import routing_endpoints as endpoints
import routing_setup as setup

from chicoryweir_policy import requests

LOAD = 0.7
SURGE = 1.9
SURGE_FROM_S = 30.0
SURGE_TO_S = 35.0
PLAIN_CALLS_PER_S = 12.0
TURNS = 4

Send = collections.abc.Callable[[requests.Request, int, frozenset[str]], None]


class Traffic:
    """Sends requests through the entries."""

    def __init__(
        self,
        deployment: setup.Deployment,
        clock: setup.Clock,
        source: random.Random,
        send: Send,
    ) -> None:
        self._deployment, self._clock = deployment, clock
        self._random, self._send = source, send

    def start(self) -> None:
        """Schedules the first requests."""
        self._clock.at(1.0, self._start_conversation)
        self._clock.at(1.0, self._call_plain)

    def _start_conversation(self) -> None:
        surge = SURGE if SURGE_FROM_S <= self._clock.now < SURGE_TO_S else 1.0
        service_s = endpoints.TOKENS * endpoints.STEP_S + 3 * endpoints.PREFILL_S
        slots = self._deployment.workers * endpoints.SLOTS
        rate = LOAD * surge * slots / service_s / TURNS
        self._clock.after(self._random.expovariate(rate), self._start_conversation)
        system = self._random.choices((1, 2, 3), (70, 20, 10))[0]
        blocks = tuple(system * 1000 + depth for depth in range(4))
        self._take_turn(blocks, self._random.randrange(endpoints.ENTRIES), TURNS)

    def _take_turn(self, blocks: tuple[int, ...], entry: int, turns: int) -> None:
        if turns == 0:
            return
        blocks = (*blocks, self._random.getrandbits(64), self._random.getrandbits(64))
        request = self.make_request("model", blocks)
        self._send(request, entry, frozenset())
        if self._random.random() < 0.2:
            entry = self._random.randrange(endpoints.ENTRIES)
        self._clock.after(
            2.0 + self._random.expovariate(0.5),
            self._take_turn,
            blocks,
            entry,
            turns - 1,
        )

    def _call_plain(self) -> None:
        self._clock.after(self._random.expovariate(PLAIN_CALLS_PER_S), self._call_plain)
        request = self.make_request("plain", ())
        self._send(request, self._random.randrange(endpoints.ENTRIES), frozenset())

    def make_request(self, service: str, blocks: tuple[int, ...]) -> requests.Request:
        """Makes a request with a content of its own."""
        identity = self._random.getrandbits(64)
        priority = self._random.choices(endpoints.CLASSES, (20, 50, 30))[0]
        model = endpoints.MODEL if service == "model" else ""
        return requests.Request(
            request_id=str(identity),
            workspace="relay",
            service=service,
            model=model,
            priority=priority,
            arrived_at=self._clock.now,
            deadline_at=self._clock.now + 30.0,
            idempotency=requests.Idempotency.IDEMPOTENT,
            idempotency_key="",
            mode=requests.AnswerMode.EVENTS,
            method="POST",
            path="/",
            content_type="",
            body=b"",
            fingerprint=identity,
            prefix=blocks[0] if blocks else 0,
            prefix_blocks=blocks,
            cost_tokens=float(endpoints.TOKENS),
        )
