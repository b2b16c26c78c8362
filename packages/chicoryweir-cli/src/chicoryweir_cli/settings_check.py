"""Prints the result of checking a settings file."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_cli import client
from chicoryweir_cli import command_helpers
from chicoryweir_cli import exit_codes
from chicoryweir_cli import file_check
from chicoryweir_cli import jsonc
from chicoryweir_cli import places
from chicoryweir_cli import rendering
from chicoryweir_cli import settings_change
from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """What a running system has in force.

    Attributes:
        version: Version of the settings.
        document: The settings.
        known: Places with instances.
    """

    version: store.Json
    document: store.Json
    known: tuple[evacuation.Place, ...]


def check_settings(
    file: str,
    checked: file_check.CheckResult,
    entries: client.Client | None,
    strict: bool,
    as_json: bool,
) -> None:
    """Prints the result of a check; exits with an error if the file is not clean.

    Args:
        file: Name of the file.
        checked: Its content and faults.
        entries: Client of the system to compare with, or None.
        strict: Whether warnings count as faults.
        as_json: Whether to print JSON.
    """
    in_force = None
    if entries is not None and not checked.located_faults:
        in_force = _fetch_in_force(entries)
    warnings = checked.locate_warnings(in_force.known if in_force else None)
    changes = None
    if in_force is not None:
        changes = render_changes(
            difference.find_changes(in_force.document, checked.document)
        )
    if as_json:
        document: dict[str, store.Json] = {
            "file": file,
            "faults": _encode(file, checked.located_faults),
            "warnings": _encode(file, warnings),
            "compared_with": in_force.version if in_force is not None else None,
            "changes": changes,
        }
        rendering.print_json(document)
    else:
        _print_text(file, checked.located_faults, warnings)
        if in_force is not None and changes is not None:
            _print_changes(in_force.version, changes)
    if checked.located_faults or (strict and warnings):
        counts = f"{len(checked.located_faults)} faults, {len(warnings)} warnings"
        raise command_helpers.make_exit(
            exit_codes.ExitCode.REFUSED, f"{file}: {counts}"
        )


def render_changes(
    changes: collections.abc.Iterable[difference.Change],
) -> list[store.Json]:
    """Returns changes as JSON objects."""
    return [
        {
            "path": change.path,
            "from": difference.render_value(change.before),
            "to": difference.render_value(change.after),
        }
        for change in changes
    ]


def _fetch_in_force(entries: client.Client) -> InForce:
    body = command_helpers.require_success(entries.get(settings_change.SETTINGS_URL))
    status = command_helpers.require_success(entries.get(places.STATUS_URL))
    known = tuple(places.list_known(status))
    return InForce(body.get("version"), body.get("tree"), known)


def _encode(
    file: str, located: collections.abc.Iterable[jsonc.LocatedFault]
) -> list[store.Json]:
    return [file_check.encode_fault(file, item) for item in located]


def _print_text(
    file: str,
    located_faults: collections.abc.Sequence[jsonc.LocatedFault],
    warnings: collections.abc.Sequence[jsonc.LocatedFault],
) -> None:
    for located in located_faults:
        rendering.print_line(file_check.render_fault(file, located))
    for located in warnings:
        rendering.print_line(file_check.render_fault(file, located, "warning: "))
    if not located_faults:
        suffix = f", {len(warnings)} warnings" if warnings else ""
        rendering.print_line(f"{file}: no faults{suffix}")


def _print_changes(version: store.Json, changes: list[store.Json]) -> None:
    rendering.print_line(f"{len(changes)} differences from version {version}")
    for change in changes:
        rendering.print_line(rendering.format_fields(change))
