"""HTTP client of the operators' interface; tries the entries in turn."""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import pathlib
import typing

import httpx

from chicoryweir_policy import store
from chicoryweir_policy.settings import documents

TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0
_RETRIED_STATUSES = (502, 503, 504)


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Content of the client file.

    Attributes:
        entries: Base URLs of the entries, in the order they are tried.
        operator_key: Key of the operator.
    """

    entries: tuple[str, ...]
    operator_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An entry answered."""

    entry: str
    status: int
    body: dict[str, store.Json]


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry took the request; it had no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A request was sent and its reply lost; it may have had an effect."""

    entry: str
    detail: str


Answer = Reply | Unreachable | Lost


class ConfigError(Exception):
    """The client file cannot be used; the message says why."""


def load_config(path: pathlib.Path) -> Config:
    """Reads the client file.

    Raises:
        ConfigError: The file is missing or malformed.
    """
    try:
        decoding = documents.parse_text(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    if isinstance(decoding, documents.Undecodable):
        place = f"{path}:{decoding.line}:{decoding.column}"
        raise ConfigError(f"{place}: {decoding.detail}")
    document = decoding.document
    entries = document.get("entries") if isinstance(document, dict) else None
    key = document.get("operator_key") if isinstance(document, dict) else None
    if not isinstance(entries, list) or not entries or not isinstance(key, str):
        raise ConfigError(f"{path}: needs a list `entries` and a string `operator_key`")
    return Config(tuple(str(entry).rstrip("/") for entry in entries), key)


class Client:
    """Sends requests of one operator."""

    def __init__(
        self, config: Config, transport: httpx.BaseTransport | None = None
    ) -> None:
        self._config = config
        self._http = httpx.Client(
            headers={"Authorization": f"Bearer {config.operator_key}"},
            timeout=httpx.Timeout(TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=transport,
            trust_env=False,
        )

    def get(
        self, path: str, params: collections.abc.Mapping[str, str] | None = None
    ) -> Answer:
        """Reads from the first entry that answers."""
        return self._try_entries("GET", path, params=dict(params or {}))

    def post(self, path: str, body: dict[str, store.Json]) -> Answer:
        """Sends a change that is idempotent by its change id; tries all entries.

        Returns:
            The first answer that settles the change. `Lost` when none did and one
            of the requests may have had an effect.
        """
        return self._try_entries("POST", path, json=body)

    def _try_entries(self, method: str, path: str, **arguments: typing.Any) -> Answer:
        lost: Lost | None = None
        refused: Reply | None = None
        details: list[str] = []
        for entry in self._config.entries:
            try:
                answer = self._http.request(method, entry + path, **arguments)
            except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as e:
                details.append(f"{entry}: {_describe(e)}")
                continue
            except (httpx.HTTPError, httpx.InvalidURL) as e:
                details.append(f"{entry}: {_describe(e)}")
                lost = Lost(entry, "; ".join(details))
                continue
            reply = Reply(entry, answer.status_code, _read_body(answer))
            if reply.status not in _RETRIED_STATUSES:
                return reply
            details.append(f"{entry}: status {reply.status}")
            refused = reply
            if reply.status != httpx.codes.SERVICE_UNAVAILABLE:
                lost = Lost(entry, "; ".join(details))
        if lost is not None and method != "GET":
            return Lost(lost.entry, "; ".join(details))
        return refused or Unreachable("; ".join(details))


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _read_body(answer: httpx.Response) -> dict[str, store.Json]:
    try:
        body = answer.json()
    except (json.JSONDecodeError, UnicodeDecodeError, RecursionError):
        return {"detail": answer.text[:200]}
    return body if isinstance(body, dict) else {"body": body}
