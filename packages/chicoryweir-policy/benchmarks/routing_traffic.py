"""Simulated traffic: conversations with shared prompts, and plain requests."""

from __future__ import annotations

import collections.abc
import random

import routing_endpoints as endpoints
import routing_setup as setup

from chicoryweir_policy import requests

LOAD = 0.7
SURGE_FACTOR = 1.9
SURGE_START_S = 30.0
SURGE_END_S = 35.0
PLAIN_REQUESTS_PER_S = 12.0
TURNS_PER_CONVERSATION = 4

Send = collections.abc.Callable[[requests.Request, int, frozenset[str]], None]


class Traffic:
    """Generates requests and sends them through the entries."""

    def __init__(
        self,
        deployment: setup.Deployment,
        clock: setup.Clock,
        rng: random.Random,
        send: Send,
    ) -> None:
        self._deployment, self._clock = deployment, clock
        self._random, self._send = rng, send

    def start(self) -> None:
        """Schedules the first requests."""
        self._clock.schedule_at(1.0, self._start_conversation)
        self._clock.schedule_at(1.0, self._send_plain_request)

    def _start_conversation(self) -> None:
        surge = SURGE_FACTOR if SURGE_START_S <= self._clock.now < SURGE_END_S else 1.0
        service_s = endpoints.TOKENS * endpoints.STEP_S + 3 * endpoints.PREFILL_S
        slots = self._deployment.model_endpoints * endpoints.SLOTS
        rate = LOAD * surge * slots / service_s / TURNS_PER_CONVERSATION
        self._clock.schedule_after(
            self._random.expovariate(rate), self._start_conversation
        )
        system = self._random.choices((1, 2, 3), (70, 20, 10))[0]
        blocks = tuple(system * 1000 + depth for depth in range(4))
        self._send_turn(
            blocks, self._random.randrange(endpoints.ENTRIES), TURNS_PER_CONVERSATION
        )

    def _send_turn(self, blocks: tuple[int, ...], entry: int, turns_left: int) -> None:
        if turns_left == 0:
            return
        blocks = (*blocks, self._random.getrandbits(64), self._random.getrandbits(64))
        request = self.make_request("model", blocks)
        self._send(request, entry, frozenset())
        if self._random.random() < 0.2:
            entry = self._random.randrange(endpoints.ENTRIES)
        self._clock.schedule_after(
            2.0 + self._random.expovariate(0.5),
            self._send_turn,
            blocks,
            entry,
            turns_left - 1,
        )

    def _send_plain_request(self) -> None:
        self._clock.schedule_after(
            self._random.expovariate(PLAIN_REQUESTS_PER_S), self._send_plain_request
        )
        request = self.make_request("plain", ())
        self._send(request, self._random.randrange(endpoints.ENTRIES), frozenset())

    def make_request(self, service: str, blocks: tuple[int, ...]) -> requests.Request:
        """Creates a request with a unique content."""
        content_hash = self._random.getrandbits(64)
        priority = self._random.choices(endpoints.CLASSES, (20, 50, 30))[0]
        model = endpoints.MODEL if service == "model" else ""
        return requests.Request(
            request_id=str(content_hash),
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
            fingerprint=content_hash,
            prefix=blocks[0] if blocks else 0,
            prefix_blocks=blocks,
            cost_tokens=float(endpoints.TOKENS),
        )
