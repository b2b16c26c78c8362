"""Evacuates a place, or ends its evacuation, by a change of the settings."""

from __future__ import annotations

import dataclasses
import typing
import uuid

from chicoryweir_cli import change_report
from chicoryweir_cli import client
from chicoryweir_cli import command_helpers
from chicoryweir_cli import exit_codes
from chicoryweir_cli import places
from chicoryweir_cli import rendering
from chicoryweir_cli import settings_change
from chicoryweir_policy import store
from chicoryweir_policy.settings import evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What an operator wants.

    Attributes:
        place: The place.
        evacuated: Whether it is to be evacuated; False ends its evacuation.
        reason: Reason for the change, for the audit trail.
        author: Author of the change; empty for the user's name.
    """

    place: str
    evacuated: bool
    reason: str
    author: str


def change_evacuation(entries: client.Client, order: Order, as_json: bool) -> None:
    """Applies the order to the settings in force and prints the outcome."""
    status = command_helpers.require_success(entries.get(places.STATUS_URL))
    body = command_helpers.require_success(entries.get(settings_change.SETTINGS_URL))
    version, document = body.get("version"), body.get("tree")
    if not isinstance(version, int) or not isinstance(document, dict):
        raise command_helpers.make_exit(
            exit_codes.ExitCode.UNKNOWN, "the entry answered without settings"
        )
    plan = evacuation.plan_change(
        document, order.place, order.evacuated, places.list_known(status)
    )
    details: dict[str, store.Json] = {
        "place": order.place,
        "evacuated": order.evacuated,
    }
    state = "evacuated" if order.evacuated else "not evacuated"
    match plan:
        case evacuation.Changed(changed):
            _apply(entries, order, version, changed, details, as_json)
            if not as_json:
                rendering.print_line(f"{order.place} is {state}")
        case evacuation.Unchanged():
            if as_json:
                rendering.print_json({"version": version, "change_id": None, **details})
            else:
                rendering.print_line(
                    f"{order.place} is {state} already, by version {version}"
                )
        case evacuation.UnknownPlace(known):
            raise command_helpers.make_exit(
                exit_codes.ExitCode.REFUSED,
                f"no place is named {order.place!r}; known: {', '.join(known)}",
            )
        case evacuation.LastPlace():
            raise command_helpers.make_exit(
                exit_codes.ExitCode.REFUSED,
                f"{order.place} is the last place with endpoints that is not evacuated",
            )
        case _:
            typing.assert_never(plan)


def _apply(
    entries: client.Client,
    order: Order,
    version: int,
    document: store.Json,
    details: dict[str, store.Json],
    as_json: bool,
) -> None:
    change = settings_change.SettingsChange(
        uuid.uuid4().hex,
        version,
        order.author or change_report.get_user_name(),
        order.reason,
        document,
    )
    # A repeated command finds the place in the requested state if this change took
    # effect, so it needs no change id.
    change_report.report_outcome(
        settings_change.apply_change(entries, change),
        change,
        as_json,
        details=details,
        repeat_with_id=False,
    )
