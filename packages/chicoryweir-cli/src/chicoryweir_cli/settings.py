"""Commands that check, show and change the settings."""

from __future__ import annotations

import pathlib
import typing
import uuid

import typer

from chicoryweir_cli import change_report
from chicoryweir_cli import command_helpers
from chicoryweir_cli import effective_values
from chicoryweir_cli import exit_codes
from chicoryweir_cli import file_check
from chicoryweir_cli import rendering
from chicoryweir_cli import settings_change
from chicoryweir_cli import settings_check
from chicoryweir_policy import store
from chicoryweir_policy.settings import difference

app = typer.Typer(no_args_is_help=True, help="Check, show and change the settings.")

SettingsFile = typing.Annotated[pathlib.Path, typer.Argument(metavar="FILE")]


@app.command("check")
def check_settings(
    file: SettingsFile,
    strict: typing.Annotated[
        bool, typer.Option("--strict", help="Exit with 1 on warnings, too.")
    ] = False,
    compare: typing.Annotated[
        bool,
        typer.Option(
            "--compare",
            help="Also compare with the running system: differences from the version "
            "in force, and places without instances.",
        ),
    ] = False,
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Check a settings file; needs a running system only with --compare."""
    checked = file_check.check_text(command_helpers.read_file(file))
    entries = command_helpers.open_client(client_file) if compare else None
    settings_check.check_settings(str(file), checked, entries, strict, as_json)


@app.command("show")
def show_settings(
    path: typing.Annotated[str, typer.Argument(metavar="[PATH]")] = "",
    show_effective: typing.Annotated[
        bool,
        typer.Option(
            "--effective",
            help="Show values in effect at PLACE/SERVICE/WORKSPACE/CLASS, "
            "and the node that each came from.",
        ),
    ] = False,
    file: typing.Annotated[
        pathlib.Path | None, typer.Option("--file", help="Show a file instead.")
    ] = None,
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Show the current settings, or the part of them at PATH."""
    version: store.Json = None
    if file is not None:
        document = _load_document(file, as_json)
    else:
        body = command_helpers.fetch(client_file, settings_change.SETTINGS_URL)
        version, document = body.get("version"), body.get("tree")
    if show_effective:
        _print_effective(document, path, as_json)
        return
    keys = difference.split_pointer("/" + path.strip("/")) if path.strip("/") else ()
    for key in keys:
        if not isinstance(document, dict) or key not in document:
            raise command_helpers.make_exit(
                exit_codes.ExitCode.REFUSED, f"nothing is set at {path}"
            )
        document = document[key]
    if not as_json and version is not None:
        rendering.print_line(f"// version {version}")
    rendering.print_json(
        {"version": version, "tree": document} if as_json else document
    )


@app.command("apply")
def apply_settings(
    file: SettingsFile,
    expect_version: typing.Annotated[
        int,
        typer.Option(
            "--expect-version", min=0, help="Version that the file is based on."
        ),
    ],
    reason: typing.Annotated[str, typer.Option("--reason", help="Why.")] = "",
    author: typing.Annotated[
        str, typer.Option("--author", help="Author; the user's name by default.")
    ] = "",
    change_id: typing.Annotated[
        str, typer.Option("--change-id", help="Id of the change to retry.")
    ] = "",
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Apply a settings file."""
    document = _load_document(file, as_json)
    change = settings_change.SettingsChange(
        change_id or uuid.uuid4().hex,
        expect_version,
        author or change_report.get_user_name(),
        reason,
        document,
    )
    outcome = settings_change.apply_change(
        command_helpers.open_client(client_file), change
    )
    change_report.report_outcome(outcome, change, as_json)


@app.command("history")
def show_history(
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """List the accepted versions."""
    body = command_helpers.fetch(client_file, settings_change.HISTORY_URL)
    if as_json:
        rendering.print_json(body)
        return
    for item in rendering.list_items(body, "versions"):
        names = ("version", "at", "author", "change_id", "reason")
        rendering.print_line(rendering.format_fields(item, names))


@app.command("diff")
def diff_settings(
    first: typing.Annotated[str, typer.Argument(metavar="A")],
    second: typing.Annotated[str, typer.Argument(metavar="B")],
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """List the differences from A to B; each is a version number or a file."""
    changes = difference.find_changes(
        _load_version_or_file(first, client_file, as_json),
        _load_version_or_file(second, client_file, as_json),
    )
    rendered = settings_check.render_changes(changes)
    if as_json:
        rendering.print_json({"changes": rendered})
        return
    for item in rendered:
        rendering.print_line(rendering.format_fields(item))


def _load_document(file: pathlib.Path, as_json: bool) -> store.Json:
    """Reads and validates a file; prints its faults and exits if there are any."""
    checked = file_check.check_text(command_helpers.read_file(file))
    if not checked.located_faults:
        return checked.document
    if as_json:
        encoded: list[store.Json] = [
            file_check.encode_fault(str(file), located)
            for located in checked.located_faults
        ]
        rendering.print_json({"file": str(file), "faults": encoded})
    else:
        for located in checked.located_faults:
            rendering.print_line(file_check.render_fault(str(file), located))
    raise command_helpers.make_exit(
        exit_codes.ExitCode.REFUSED, f"{file}: {len(checked.located_faults)} faults"
    )


def _load_version_or_file(
    version_or_file: str, client_file: pathlib.Path | None, as_json: bool
) -> store.Json:
    if version_or_file.isascii() and version_or_file.isdigit():
        params = {"version": version_or_file}
        return command_helpers.fetch(
            client_file, settings_change.SETTINGS_URL, params
        ).get("tree")
    return _load_document(pathlib.Path(version_or_file), as_json)


def _print_effective(document: store.Json, path: str, as_json: bool) -> None:
    scope = effective_values.parse_scope(path)
    if scope is None:
        raise command_helpers.make_exit(
            exit_codes.ExitCode.USAGE,
            f"{path}: not PLACE/SERVICE/WORKSPACE/CLASS or a node under /fleet; "
            "CLASS is urgent, standard or bulk",
        )
    values = effective_values.list_values(document, scope)
    if as_json:
        rendering.print_json({"values": list(values)})
        return
    for value in values:
        rendering.print_line(rendering.format_fields(value))
