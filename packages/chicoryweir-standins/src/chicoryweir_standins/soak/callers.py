"""Callers of a run, who resend payments and send requests that crash engines."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import random
import typing

import httpx

from chicoryweir_standins import reporting
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan
from chicoryweir_standins.soak import observations

_MEAN_PAYMENT_GAP_S = 0.1
_MAX_PAYMENT_SENDS = 4
_POISON_SENDS = 8
_RESEND_DELAY_S = 0.4
_DEADLINE_MS = 4000
_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerContext:
    """State shared by the callers of one run."""

    client: httpx.AsyncClient
    running_fleet: fleet.Fleet
    observed: observations.Observations
    seed: int

    def build_headers(self, **extra: str) -> dict[str, str]:
        """Returns the headers of a request."""
        return {
            "Authorization": f"Bearer {self.running_fleet.plan.keys.caller}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(_DEADLINE_MS),
            **extra,
        }


async def send_payments(context: CallerContext, stop: asyncio.Event) -> None:
    """Sends payments until the event is set, each up to `_MAX_PAYMENT_SENDS` times."""
    rng = random.Random(f"{context.seed}/payments")
    number = 0
    async with asyncio.TaskGroup() as payments:
        while not stop.is_set():
            number += 1
            urls = rng.choices(
                context.running_fleet.plan.entry_urls, k=_MAX_PAYMENT_SENDS
            )
            payments.create_task(_send_payment(context, number, urls))
            await asyncio.sleep(rng.expovariate(1 / _MEAN_PAYMENT_GAP_S))


async def _send_payment(context: CallerContext, number: int, urls: list[str]) -> None:
    """Sends a payment to one entry after another until it is answered.

    Every third payment is instead sent to two entries concurrently.
    """
    key = f"soak-{context.seed}-{number}"
    raw_body = json.dumps({"grower": number, "lari": 120}).encode()
    if number % 3 == 0:
        await asyncio.gather(
            *(_send_once(context, key, raw_body, url) for url in urls[:2])
        )
        return
    for url in urls:
        reply = await _send_once(context, key, raw_body, url)
        if reply.status == 200 or reply.outcome == "already_run":
            return
        await asyncio.sleep(_RESEND_DELAY_S)


async def _send_once(
    context: CallerContext, key: str, raw_body: bytes, url: str
) -> observations.PaymentReply:
    digest = reporting.compute_body_digest(raw_body)
    headers = context.build_headers(**{"X-Idempotent": "false", "Idempotency-Key": key})
    payment_reply = observations.PaymentReply(key, digest, 0)
    try:
        reply = await context.client.post(
            f"{url}/v1/services/{plan.PLAIN_SERVICE}/payments",
            content=raw_body,
            headers=headers,
            timeout=_TIMEOUT_S,
        )
        payment_reply = _parse_reply(payment_reply, reply)
    except httpx.HTTPError:
        pass
    context.observed.payment_replies.append(payment_reply)
    return payment_reply


def _parse_reply(
    payment_reply: observations.PaymentReply, reply: httpx.Response
) -> observations.PaymentReply:
    try:
        body: dict[str, typing.Any] = reply.json()
    except ValueError:
        body = {}
    ran = body.get("ran") or {}
    return dataclasses.replace(
        payment_reply,
        status=reply.status_code,
        outcome=str(body.get("outcome", "")),
        ran_key=str(ran.get("key", "")),
        ran_body_sha256=str(ran.get("body_sha256", "")),
    )


async def send_poison(context: CallerContext, number: int) -> None:
    """Sends a crashing request to entries in turn, `_POISON_SENDS` times in all."""
    body = {
        "model": plan.MODEL,
        "messages": [
            {"role": "user", "content": f"POISON-CRASH {context.seed}-{number}"}
        ],
        "max_tokens": 8,
    }
    raw_body = json.dumps(body).encode()
    context.observed.poison_bodies.append(reporting.compute_body_digest(raw_body))
    urls = context.running_fleet.plan.entry_urls
    for index in range(_POISON_SENDS):
        url = urls[(number + index) % len(urls)]
        with contextlib.suppress(httpx.HTTPError):
            await context.client.post(
                f"{url}/v1/chat/completions",
                content=raw_body,
                headers=context.build_headers(),
                timeout=_TIMEOUT_S,
            )
        await asyncio.sleep(_RESEND_DELAY_S)
