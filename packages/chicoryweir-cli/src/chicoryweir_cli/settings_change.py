"""Applies a settings document and finds out what became of it."""

from __future__ import annotations

import dataclasses

import httpx

from chicoryweir_cli import client
from chicoryweir_cli import rendering
from chicoryweir_policy import store

SETTINGS_URL = "/operator/settings"
HISTORY_URL = "/operator/settings/history"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A change to apply; `change_id` makes it idempotent."""

    change_id: str
    expect_version: int
    author: str
    reason: str
    document: store.Json


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The change is accepted as `version`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The change has no effect; `body` is the problem that an entry answered."""

    entry: str
    status: int
    body: dict[str, store.Json]


@dataclasses.dataclass(frozen=True, slots=True)
class NotTaken:
    """No entry took the change, as none or its store was reachable."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Nobody could tell whether the change is accepted."""

    detail: str


Outcome = Applied | Refused | NotTaken | Unknown


def apply_change(entries: client.Client, request: Request) -> Outcome:
    """Sends a change to the entries in turn; reads back when replies were lost."""
    answer = entries.post(
        SETTINGS_URL,
        {
            "expect_version": request.expect_version,
            "tree": request.document,
            "change_id": request.change_id,
            "author": request.author,
            "reason": request.reason,
        },
    )
    match answer:
        case client.Reply(entry, status, body):
            version = body.get("version")
            if status == httpx.codes.OK and isinstance(version, int):
                return Applied(version)
            if httpx.codes.is_client_error(status):
                return Refused(entry, status, body)
            detail = f"{entry} answered {status}: {body.get('detail', '')}"
            if status == httpx.codes.SERVICE_UNAVAILABLE:
                return NotTaken(detail)
            return _read_back(entries, request, detail)
        case client.Unreachable(detail):
            return NotTaken(detail)
        case client.Lost(_, detail):
            return _read_back(entries, request, detail)


def _read_back(entries: client.Client, request: Request, detail: str) -> Outcome:
    answer = entries.get(HISTORY_URL)
    if isinstance(answer, client.Reply) and answer.status == httpx.codes.OK:
        for item in rendering.list_items(answer.body, "versions"):
            if isinstance(item, dict) and item.get("change_id") == request.change_id:
                version = item.get("version")
                return Applied(version if isinstance(version, int) else 0)
    return Unknown(detail)
