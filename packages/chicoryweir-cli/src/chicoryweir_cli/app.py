"""Commands for operators, other than those on the settings."""

from __future__ import annotations

import typing
import urllib.parse
import uuid

import typer

from chicoryweir_cli import command_helpers
from chicoryweir_cli import evacuation_command
from chicoryweir_cli import rendering
from chicoryweir_cli import settings
from chicoryweir_policy import store

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Operate chicoryweir: settings, status, audit, drains.",
)
app.add_typer(settings.app, name="settings")

After = typing.Annotated[
    int, typer.Option("--after", min=0, help="Sequence number of the last one seen.")
]
_STATUS_TABLES = ("outcomes", "places", "endpoints", "entries", "groups")


@app.command("status")
def show_status(
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Show the outcomes against their targets and the state of the system."""
    body = command_helpers.fetch(client_file, "/operator/status")
    if as_json:
        rendering.print_json(body)
        return
    fields = {name: body[name] for name in body if name not in _STATUS_TABLES}
    rendering.print_line(rendering.format_fields(fields))
    for name in _STATUS_TABLES:
        for item in rendering.list_items(body, name):
            rendering.print_line(f"{name}: {rendering.format_fields(item)}")


@app.command("audit")
def show_audit(
    after: After = 0,
    limit: typing.Annotated[int, typer.Option("--limit", min=1, max=10_000)] = 200,
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """List the audit trail: author, time and reason of each change."""
    params = {"after": str(after), "limit": str(limit)}
    body = command_helpers.fetch(client_file, "/operator/audit", params)
    _print_items(body, "rows", as_json)


@app.command("explain")
def explain_request(
    request_id: str,
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Explain the decisions on one request."""
    quoted_id = urllib.parse.quote(request_id, safe="")
    body = command_helpers.fetch(client_file, f"/operator/explain/{quoted_id}")
    if not as_json and body.get("found") is False:
        rendering.print_line(f"no entry has notes on request {request_id}")
    _print_items(body, "records", as_json)


@app.command("events")
def show_events(
    after: After = 0,
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """List the numbered log events."""
    body = command_helpers.fetch(client_file, "/operator/events", {"after": str(after)})
    _print_items(body, "events", as_json)


@app.command("drain")
def drain_instance(
    instance: str,
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Drain an instance: its requests complete, and it gets no new ones."""
    request: dict[str, store.Json] = {
        "instance": instance,
        "change_id": uuid.uuid4().hex,
    }
    result = command_helpers.open_client(client_file).post("/operator/drain", request)
    body = command_helpers.require_success(result)
    if as_json:
        rendering.print_json(body)
    else:
        change_id = rendering.format_value(body.get("change_id"))
        rendering.print_line(f"{instance} is draining (change {change_id})")


@app.command("evacuate")
def evacuate_place(
    place: str,
    reason: typing.Annotated[str, typer.Option("--reason", help="Why.")],
    undo: typing.Annotated[
        bool, typer.Option("--undo", help="End the evacuation instead.")
    ] = False,
    author: typing.Annotated[
        str, typer.Option("--author", help="Author; the user's name by default.")
    ] = "",
    client_file: command_helpers.ClientFile = None,
    as_json: command_helpers.JsonFlag = False,
) -> None:
    """Evacuate a place: its endpoints finish their requests and get no new ones."""
    evacuation_command.change_evacuation(
        command_helpers.open_client(client_file),
        evacuation_command.Order(place, not undo, reason, author),
        as_json,
    )


def _print_items(body: dict[str, store.Json], name: str, as_json: bool) -> None:
    if as_json:
        rendering.print_json(body)
        return
    for item in rendering.list_items(body, name):
        rendering.print_line(rendering.format_fields(item))
