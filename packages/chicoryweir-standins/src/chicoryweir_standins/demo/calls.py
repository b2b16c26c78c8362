"""Requests of the demonstration, sent over the callers' HTTP API."""

from __future__ import annotations

import json
import typing

import httpx

from chicoryweir_standins import answers
from chicoryweir_standins.launch import plan

Json = dict[str, typing.Any]


class DemoError(Exception):
    """A step of the demonstration failed."""


async def look_up_addresses(
    client: httpx.AsyncClient, entry_url: str, service: str
) -> list[str]:
    """Looks up the entries of a service; returns their base URLs.

    Raises:
        DemoError: The lookup failed or returned no address.
    """
    reply = await client.get(f"{entry_url}/v1/addresses", params={"service": service})
    if reply.status_code != 200 or not reply.json()["addresses"]:
        raise DemoError(f"lookup: {reply.status_code} {reply.text}")
    lookup = reply.json()
    for address in lookup["addresses"]:
        print(f"    {address['ip']}:{address['port']} in {address['place']}")
    print(f"    to be kept for {lookup['ttl_ms']} ms")
    return [f"http://{a['ip']}:{a['port']}" for a in lookup["addresses"]]


async def stream_completion(client: httpx.AsyncClient, base_url: str, key: str) -> str:
    """Streams an answer and checks that it is complete; returns the request's id.

    Raises:
        DemoError: The answer was rejected, incomplete or not the expected one.
    """
    body: Json = {
        "model": plan.MODEL,
        "messages": [{"role": "user", "content": "Are the pods of lot 7 dry?"}],
        "max_tokens": 24,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {key}", "X-Priority": "urgent"}
    tokens: list[str] = []
    is_done = False
    url = f"{base_url}/v1/chat/completions"
    print("    ", end="")
    async with client.stream("POST", url, json=body, headers=headers) as reply:
        if reply.status_code != 200:
            raise DemoError(f"stream: {reply.status_code} {await reply.aread()!r}")
        async for line in reply.aiter_lines():
            if line == "data: [DONE]":
                is_done = True
            elif line.startswith("data: "):
                delta = json.loads(line[6:])["choices"][0]["delta"]
                token = delta.get("content") or ""
                tokens.append(token)
                print(token, end="", flush=True)
    print()
    if not is_done or "".join(tokens) != "".join(answers.compute_answer(body)):
        raise DemoError("the streamed answer is incomplete or not the expected one")
    print("    whole, and its own: every token is as computed beforehand")
    return reply.headers["X-Request-Id"]


async def call_service(client: httpx.AsyncClient, base_url: str, key: str) -> None:
    """Sends one request to the plain service.

    Raises:
        DemoError: The status of the answer is not 200.
    """
    reply = await client.get(
        f"{base_url}/v1/services/{plan.PLAIN_SERVICE}/balances/7",
        headers={"Authorization": f"Bearer {key}"},
    )
    print(f"    {reply.status_code} {reply.text}")
    if reply.status_code != 200:
        raise DemoError("the plain call failed")


async def send_payment_twice(
    client: httpx.AsyncClient, base_urls: list[str], switchboard_url: str, key: str
) -> None:
    """Sends one non-idempotent request twice, through two entries if possible.

    Raises:
        DemoError: The first send failed, or the request didn't run exactly once.
    """
    headers = {
        "Authorization": f"Bearer {key}",
        "X-Idempotent": "false",
        "Idempotency-Key": "payment-7",
    }
    for number in (0, 1):
        base_url = base_urls[number % len(base_urls)]
        reply = await client.post(
            f"{base_url}/v1/services/{plan.PLAIN_SERVICE}/payments",
            json={"grower": 7, "lari": 120},
            headers=headers,
        )
        print(f"    {reply.status_code} {reply.text}")
        if number == 0 and reply.status_code != 200:
            raise DemoError("the first payment failed")
    runs = (await client.get(f"{switchboard_url}/runs")).json()["by_key"]
    print(f"    the endpoint ran it {runs.get('payment-7', 0)} time(s)")
    if runs.get("payment-7") != 1:
        raise DemoError("the payment did not run exactly once")
