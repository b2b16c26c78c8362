"""Prints the outcome of a settings change; exits unless it was accepted."""

from __future__ import annotations

import collections.abc
import getpass

from chicoryweir_cli import command_helpers
from chicoryweir_cli import exit_codes
from chicoryweir_cli import rendering
from chicoryweir_cli import settings_change
from chicoryweir_policy import store


def report_outcome(
    outcome: settings_change.Outcome,
    change: settings_change.SettingsChange,
    as_json: bool,
    *,
    details: collections.abc.Mapping[str, store.Json] | None = None,
    repeat_with_id: bool = True,
) -> None:
    """Prints the outcome of a change; exits with an error unless it was accepted.

    Args:
        outcome: Outcome of the change.
        change: The change.
        as_json: Whether to print JSON.
        details: Further members of the JSON that is printed on acceptance.
        repeat_with_id: Whether the command needs the change id to be repeated safely
            when the outcome is not known.
    """
    match outcome:
        case settings_change.Applied(version):
            accepted: store.Json = {
                "version": version,
                "change_id": change.change_id,
                **(details or {}),
            }
            if as_json:
                rendering.print_json(accepted)
            else:
                rendering.print_line(f"version {version} is accepted")
        case settings_change.Refused(entry, status, body):
            _print_refusal(body, as_json)
            raise command_helpers.make_exit(
                exit_codes.ExitCode.REFUSED,
                command_helpers.describe_problem(entry, status, body),
            )
        case settings_change.Unavailable(detail):
            raise command_helpers.make_exit(
                exit_codes.ExitCode.UNKNOWN,
                f"no entry accepted the change; nothing was changed: {detail}",
            )
        case settings_change.Unknown(detail):
            option = f" with --change-id {change.change_id}" if repeat_with_id else ""
            raise command_helpers.make_exit(
                exit_codes.ExitCode.UNKNOWN,
                f"the outcome is not known: {detail}. Repeat the command{option}; "
                "it cannot take effect twice",
            )


def get_user_name() -> str:
    """Returns the user's name, or an empty string if it is not known."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _print_refusal(body: dict[str, store.Json], as_json: bool) -> None:
    if as_json:
        rendering.print_json(body)
        return
    if "current_version" in body:
        current = rendering.format_value(body["current_version"])
        rendering.print_line(f"the current version is {current}; it differs in:")
    for name in ("difference", "faults"):
        for item in rendering.list_items(body, name):
            rendering.print_line(rendering.format_fields(item))
