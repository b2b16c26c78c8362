"""What the commands share: the client, the output format and how they end."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import httpx
import typer

from chicoryweir_cli import client
from chicoryweir_cli import exit_codes
from chicoryweir_cli import rendering
from chicoryweir_policy import store

CLIENT_VARIABLE = "CHICORYWEIR_CLIENT"

JsonFlag = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
ClientFile = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--client",
        help="Client file with the entries and the operator's key.",
        envvar=CLIENT_VARIABLE,
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Transport:
    """Replaces the network in tests; None uses it."""

    transport: httpx.BaseTransport | None = None


network = Transport()


def open_client(path: pathlib.Path | None) -> client.Client:
    """Opens the client; ends the command with a usage error when it cannot."""
    if path is None:
        raise stop(
            exit_codes.ExitCode.USAGE,
            f"no client file: give --client FILE or set {CLIENT_VARIABLE}",
        )
    try:
        return client.Client(client.load_config(path), network.transport)
    except client.ConfigError as error:
        raise stop(exit_codes.ExitCode.USAGE, str(error)) from error


def fetch(
    path: pathlib.Path | None, url: str, params: dict[str, str] | None = None
) -> dict[str, store.Json]:
    """Reads from an entry; ends the command when none answers."""
    return accept(open_client(path).get(url, params))


def accept(answer: client.Answer) -> dict[str, store.Json]:
    """Returns the body of a success; ends the command otherwise."""
    match answer:
        case client.Reply(entry, status, body):
            if status == httpx.codes.OK:
                return body
            raise stop(classify_status(status), describe_problem(entry, status, body))
        case client.Unreachable(detail):
            raise stop(
                exit_codes.ExitCode.UNKNOWN, f"no entry could be reached: {detail}"
            )
        case client.Lost(_, detail):
            raise stop(
                exit_codes.ExitCode.UNKNOWN, f"the outcome is not known: {detail}"
            )


def classify_status(status: int) -> exit_codes.ExitCode:
    """Returns the exit code for an HTTP status that is no success."""
    if httpx.codes.is_client_error(status):
        return exit_codes.ExitCode.REFUSED
    return exit_codes.ExitCode.UNKNOWN


def describe_problem(entry: str, status: int, body: dict[str, store.Json]) -> str:
    """Returns one line about a problem that an entry answered."""
    said = [str(body[name]) for name in ("title", "detail", "step") if body.get(name)]
    return f"{entry} answered {status}: " + "; ".join(said)


def stop(code: exit_codes.ExitCode, message: str) -> typer.Exit:
    """Prints why the command ends; the caller raises what is returned."""
    rendering.print_error(f"chicoryweir: {message}")
    return typer.Exit(code)


def read_file(path: pathlib.Path) -> bytes:
    """Reads a file; ends the command with a usage error when it cannot."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise stop(exit_codes.ExitCode.USAGE, f"{path}: {error.strerror}") from error
