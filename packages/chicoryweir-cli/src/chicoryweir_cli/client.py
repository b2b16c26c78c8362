"""HTTP client for the operator interface of the entries, with failover."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import json
import pathlib
import typing

import httpx

from chicoryweir_platform import bounded_http
from chicoryweir_policy import store
from chicoryweir_policy.settings import documents

TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0
# Maximum size of an answer; settings are the largest.
MAX_REPLY_BYTES = 2 * documents.MAX_TEXT_BYTES
_RETRIED_STATUSES = (502, 503, 504)


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Content of the client file.

    Attributes:
        entries: Base URLs of the entries, in the order in which they are tried.
        operator_key: Key that authenticates the operator.
    """

    entries: tuple[str, ...]
    operator_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Response of an entry, whatever its status."""

    entry: str
    status: int
    body: dict[str, store.Json]


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The request reached no entry, so it had no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """A request was sent but its response was lost; it may have had an effect."""

    entry: str
    detail: str


Result = Reply | Unreachable | ReplyLost


class ConfigError(Exception):
    """The client file is missing or malformed."""


def load_config(path: pathlib.Path) -> Config:
    """Reads the client file.

    Raises:
        ConfigError: The file is missing or malformed; the message gives the reason.
    """
    try:
        decoding = documents.parse_text(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    if isinstance(decoding, documents.Undecodable):
        position = f"{path}:{decoding.line}:{decoding.column}"
        raise ConfigError(f"{position}: {decoding.detail}")
    document = decoding.document
    entries = document.get("entries") if isinstance(document, dict) else None
    key = document.get("operator_key") if isinstance(document, dict) else None
    if not isinstance(entries, list) or not entries or not isinstance(key, str):
        raise ConfigError(f"{path}: needs a list `entries` and a string `operator_key`")
    return Config(tuple(str(entry).rstrip("/") for entry in entries), key)


class Client:
    """Sends an operator's requests to the entries in turn until one answers."""

    def __init__(
        self, config: Config, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self._config = config
        self._transport = transport

    def get(
        self, path: str, params: collections.abc.Mapping[str, str] | None = None
    ) -> Result:
        """Sends a read request; returns the first conclusive response."""
        return self._try_entries("GET", path, params=dict(params or {}))

    def post(self, path: str, body: dict[str, store.Json]) -> Result:
        """Sends a change to the entries in turn until one gives a conclusive response.

        The change must carry a change id, which makes it idempotent, since more
        than one entry may receive it.

        Returns:
            The first response whose status isn't 502, 503 or 504. Without one,
            `ReplyLost` if any request may have had an effect, else the last response or
            `Unreachable`.
        """
        return self._try_entries("POST", path, json=body)

    async def _request(
        self, method: str, url: str, **arguments: typing.Any
    ) -> httpx.Response:
        async with httpx.AsyncClient(
            timeout=httpx.Timeout(TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=self._transport,
            trust_env=False,
        ) as http:
            headers = {"Authorization": f"Bearer {self._config.operator_key}"}
            return await bounded_http.request(
                http, method, url, MAX_REPLY_BYTES, headers=headers, **arguments
            )

    def _try_entries(self, method: str, path: str, **arguments: typing.Any) -> Result:
        reply_lost: ReplyLost | None = None
        last_reply: Reply | None = None
        details: list[str] = []
        for entry in self._config.entries:
            try:
                response = asyncio.run(self._request(method, entry + path, **arguments))
            except (
                httpx.ConnectError,
                httpx.ConnectTimeout,
                httpx.PoolTimeout,
            ) as error:
                details.append(f"{entry}: {_describe_error(error)}")
                continue
            except (httpx.HTTPError, httpx.InvalidURL) as error:
                details.append(f"{entry}: {_describe_error(error)}")
                reply_lost = ReplyLost(entry, "; ".join(details))
                continue
            reply = Reply(entry, response.status_code, _decode_body(response))
            if reply.status not in _RETRIED_STATUSES:
                return reply
            details.append(f"{entry}: status {reply.status}")
            last_reply = reply
            if reply.status != httpx.codes.SERVICE_UNAVAILABLE:
                reply_lost = ReplyLost(entry, "; ".join(details))
        if reply_lost is not None and method != "GET":
            return ReplyLost(reply_lost.entry, "; ".join(details))
        return last_reply or Unreachable("; ".join(details))


def _describe_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _decode_body(response: httpx.Response) -> dict[str, store.Json]:
    try:
        body = response.json()
    except (json.JSONDecodeError, UnicodeDecodeError, RecursionError):
        return {"detail": response.text[:200]}
    return body if isinstance(body, dict) else {"body": body}
