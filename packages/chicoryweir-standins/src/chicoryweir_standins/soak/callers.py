"""Callers of a run, which send payments repeatedly and requests that crash engines."""

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
_PAYMENT_SENDS = 4
_POISON_SENDS = 8
_RESEND_DELAY_S = 0.4
_DEADLINE_MS = 4000
_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerContext:
    """State shared by the callers of one run."""

    client: httpx.AsyncClient
    running: fleet.Fleet
    observed: observations.Observations
    seed: int

    def build_headers(self, **extra: str) -> dict[str, str]:
        """Returns the headers of a request."""
        return {
            "Authorization": f"Bearer {self.running.plan.keys.caller}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(_DEADLINE_MS),
            **extra,
        }


async def send_payments(context: CallerContext, until: asyncio.Event) -> None:
    """Sends payments until the event is set, each up to `_PAYMENT_SENDS` times."""
    rng = random.Random(f"{context.seed}/payments")
    number = 0
    async with asyncio.TaskGroup() as payments:
        while not until.is_set():
            number += 1
            urls = rng.choices(context.running.plan.entry_urls, k=_PAYMENT_SENDS)
            payments.create_task(_send_payment(context, number, urls))
            await asyncio.sleep(rng.expovariate(1 / _MEAN_PAYMENT_GAP_S))


async def _send_payment(context: CallerContext, number: int, urls: list[str]) -> None:
    """Sends one payment until it is answered; every third one twice concurrently."""
    key = f"soak-{context.seed}-{number}"
    raw = json.dumps({"grower": number, "lari": 120}).encode()
    if number % 3 == 0:
        await asyncio.gather(*(_send_once(context, key, raw, url) for url in urls[:2]))
        return
    for url in urls:
        sent = await _send_once(context, key, raw, url)
        if sent.status == 200 or sent.outcome == "already_run":
            return
        await asyncio.sleep(_RESEND_DELAY_S)


async def _send_once(
    context: CallerContext, key: str, raw: bytes, url: str
) -> observations.PaymentReply:
    digest = reporting.compute_body_digest(raw)
    headers = context.build_headers(**{"X-Idempotent": "false", "Idempotency-Key": key})
    payment = observations.PaymentReply(key, digest, 0)
    try:
        reply = await context.client.post(
            f"{url}/v1/services/{plan.PLAIN_SERVICE}/payments",
            content=raw,
            headers=headers,
            timeout=_TIMEOUT_S,
        )
        payment = _read_payment(payment, reply)
    except httpx.HTTPError:
        pass
    context.observed.payments.append(payment)
    return payment


def _read_payment(
    payment: observations.PaymentReply, reply: httpx.Response
) -> observations.PaymentReply:
    try:
        body: dict[str, typing.Any] = reply.json()
    except ValueError:
        body = {}
    ran = body.get("ran") or {}
    return dataclasses.replace(
        payment,
        status=reply.status_code,
        outcome=str(body.get("outcome", "")),
        ran_key=str(ran.get("key", "")),
        ran_body_sha256=str(ran.get("body_sha256", "")),
    )


async def send_poison(context: CallerContext, number: int) -> None:
    """Repeatedly sends one request that crashes engines, through changing entries."""
    body = {
        "model": plan.MODEL,
        "messages": [
            {"role": "user", "content": f"POISON-CRASH {context.seed}-{number}"}
        ],
        "max_tokens": 8,
    }
    raw = json.dumps(body).encode()
    context.observed.poison_bodies.append(reporting.compute_body_digest(raw))
    urls = context.running.plan.entry_urls
    for send in range(_POISON_SENDS):
        url = urls[(number + send) % len(urls)]
        with contextlib.suppress(httpx.HTTPError):
            await context.client.post(
                f"{url}/v1/chat/completions",
                content=raw,
                headers=context.build_headers(),
                timeout=_TIMEOUT_S,
            )
        await asyncio.sleep(_RESEND_DELAY_S)
