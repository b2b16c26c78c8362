"""HTTP calls whose answers are bounded in size and time.

A peer that fails may send without end: header lines, interim answers, a body, trailers.
The HTTP library bounds the head of an answer and each read only. Encoded bodies are
refused, since their size says nothing of what they decode to.
"""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import httpx

# Maximum size of an answer that isn't an object. Tables of large systems have some MB.
MAX_REPLY_BYTES = 8 << 20
# Time limit of a whole call, as a multiple of the time limit of each of its steps.
CALL_STEPS = 2.0
_IDENTITY = "identity"


class ReplyError(httpx.RemoteProtocolError):
    """An answer is too large or encoded."""


async def request(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    max_bytes: int = MAX_REPLY_BYTES,
    headers: collections.abc.Mapping[str, str] | None = None,
    **arguments: typing.Any,
) -> httpx.Response:
    """Makes a call and returns its whole answer.

    The time limit of the whole call is `CALL_STEPS` times the client's read timeout.

    Args:
        client: Client that makes the call.
        method: HTTP method.
        url: URL, or the path below the client's base URL.
        max_bytes: Maximum size of the answer's body, in bytes.
        headers: Headers of the call.
        **arguments: Further arguments of `httpx.AsyncClient.stream`.

    Raises:
        httpx.HTTPError: No complete answer within the bounds.
    """
    fields = {"Accept-Encoding": _IDENTITY, **(headers or {})}
    read_s = client.timeout.read
    timeout_s = None if read_s is None else CALL_STEPS * read_s
    try:
        async with (
            asyncio.timeout(timeout_s),
            client.stream(method, url, headers=fields, **arguments) as reply,
        ):
            body = await _read_body(reply, max_bytes)
    except TimeoutError as error:
        raise httpx.ReadTimeout(f"no complete answer in {timeout_s} s") from error
    return httpx.Response(
        reply.status_code, headers=reply.headers, content=body, request=reply.request
    )


async def _read_body(reply: httpx.Response, max_bytes: int) -> bytes:
    check_encoding(reply)
    body = bytearray()
    async for data in reply.aiter_bytes():
        body += data
        if len(body) > max_bytes:
            raise ReplyError(f"an answer longer than {max_bytes} bytes")
    return bytes(body)


def check_encoding(reply: httpx.Response) -> None:
    """Checks that the body of an answer isn't encoded.

    Raises:
        ReplyError: It is.
    """
    encoding = reply.headers.get("content-encoding", _IDENTITY)
    if encoding.strip().lower() != _IDENTITY:
        raise ReplyError(f"an answer with the encoding {encoding!r}")
