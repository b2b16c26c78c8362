"""Applies a settings document and determines the outcome."""

from __future__ import annotations

import dataclasses

import httpx

from chicoryweir_cli import client
from chicoryweir_cli import rendering
from chicoryweir_policy import store

SETTINGS_URL = "/operator/settings"
HISTORY_URL = "/operator/settings/history"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChange:
    """Change to apply; `change_id` makes it idempotent."""

    change_id: str
    expect_version: int
    author: str
    reason: str
    document: store.Json


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The change was accepted as version `version`, or 0 if the version is unknown."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """An entry refused the change with the problem document `body`; nothing changed."""

    entry: str
    status: int
    body: dict[str, store.Json]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No entry or no store was reachable, so nothing changed."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It could not be determined whether the change was accepted."""

    detail: str


Outcome = Applied | Refused | Unavailable | Unknown


def apply_change(entries: client.Client, change: SettingsChange) -> Outcome:
    """Sends a change to the entries in turn.

    If the outcome is unclear, because a reply was lost for instance, looks up the
    change id in the history of versions.
    """
    result = entries.post(
        SETTINGS_URL,
        {
            "expect_version": change.expect_version,
            "tree": change.document,
            "change_id": change.change_id,
            "author": change.author,
            "reason": change.reason,
        },
    )
    match result:
        case client.Reply(entry, status, body):
            version = body.get("version")
            if status == httpx.codes.OK and isinstance(version, int):
                return Applied(version)
            if httpx.codes.is_client_error(status):
                return Refused(entry, status, body)
            detail = f"{entry} answered {status}: {body.get('detail', '')}"
            if status == httpx.codes.SERVICE_UNAVAILABLE:
                return Unavailable(detail)
            return _find_in_history(entries, change, detail)
        case client.Unreachable(detail):
            return Unavailable(detail)
        case client.ReplyLost(_, detail):
            return _find_in_history(entries, change, detail)


def _find_in_history(
    entries: client.Client, change: SettingsChange, detail: str
) -> Outcome:
    result = entries.get(HISTORY_URL)
    if isinstance(result, client.Reply) and result.status == httpx.codes.OK:
        for item in rendering.list_items(result.body, "versions"):
            if isinstance(item, dict) and item.get("change_id") == change.change_id:
                version = item.get("version")
                return Applied(version if isinstance(version, int) else 0)
    return Unknown(detail)
