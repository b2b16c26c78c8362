"""Options, HTTP access and error exits shared by the commands."""

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
class TransportOverride:
    """HTTP transport that tests substitute; None selects the default one."""

    transport: httpx.AsyncBaseTransport | None = None


transport_override = TransportOverride()


def open_client(path: pathlib.Path | None) -> client.Client:
    """Creates a client from the client file; exits with a usage error on failure."""
    if path is None:
        raise make_exit(
            exit_codes.ExitCode.USAGE,
            f"no client file: give --client FILE or set {CLIENT_VARIABLE}",
        )
    try:
        return client.Client(client.load_config(path), transport_override.transport)
    except client.ConfigError as error:
        raise make_exit(exit_codes.ExitCode.USAGE, str(error)) from error


def fetch(
    path: pathlib.Path | None, url: str, params: dict[str, str] | None = None
) -> dict[str, store.Json]:
    """Reads from an entry and returns the body; exits unless the read succeeds."""
    return require_success(open_client(path).get(url, params))


def require_success(result: client.Result) -> dict[str, store.Json]:
    """Returns the body of a successful response; exits on any other result."""
    match result:
        case client.Reply(entry, status, body):
            if status == httpx.codes.OK:
                return body
            raise make_exit(
                classify_status(status), describe_problem(entry, status, body)
            )
        case client.Unreachable(detail):
            raise make_exit(
                exit_codes.ExitCode.UNKNOWN, f"no entry could be reached: {detail}"
            )
        case client.ReplyLost(_, detail):
            raise make_exit(
                exit_codes.ExitCode.UNKNOWN, f"the outcome is not known: {detail}"
            )


def classify_status(status: int) -> exit_codes.ExitCode:
    """Returns the exit code for the HTTP status of a failed request."""
    if httpx.codes.is_client_error(status):
        return exit_codes.ExitCode.REFUSED
    return exit_codes.ExitCode.UNKNOWN


def describe_problem(entry: str, status: int, body: dict[str, store.Json]) -> str:
    """Formats the problem document of an entry on one line."""
    texts = [str(body[name]) for name in ("title", "detail", "step") if body.get(name)]
    return f"{entry} answered {status}: " + "; ".join(texts)


def make_exit(code: exit_codes.ExitCode, message: str) -> typer.Exit:
    """Prints an error message and returns the exception for the caller to raise."""
    rendering.print_error(f"chicoryweir: {message}")
    return typer.Exit(code)


def read_file(path: pathlib.Path) -> bytes:
    """Reads a file; exits with a usage error on failure."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise make_exit(
            exit_codes.ExitCode.USAGE, f"{path}: {error.strerror}"
        ) from error
