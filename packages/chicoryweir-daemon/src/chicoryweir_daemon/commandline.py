"""Command line of the daemons."""

from __future__ import annotations

import collections.abc
import pathlib
import sys
import typing

import typer

from chicoryweir_daemon import configuration
from chicoryweir_daemon import logs
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import signals
from chicoryweir_policy.membership import instances

EXIT_FAILED = 1
EXIT_USAGE = 2

Config = typing.Annotated[pathlib.Path, typer.Option(help="Configuration file.")]
Run = collections.abc.Callable[
    [configuration.Configuration, eventloop.Requests],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]

app = typer.Typer(add_completion=False, help="The chicoryweir daemon.")


@app.command("entry")
def run_entry(context: typer.Context, config: Config) -> None:
    """Runs the daemon of an entry instance."""
    from chicoryweir_daemon.entry import service

    _run(service.run_entry, _load(config, instances.Role.ENTRY), context.obj)


@app.command("agent")
def run_agent(context: typer.Context, config: Config) -> None:
    """Runs the daemon of an endpoint's agent."""
    from chicoryweir_daemon.agent import service

    _run(service.run_agent, _load(config, instances.Role.AGENT), context.obj)


def _load(path: pathlib.Path, role: instances.Role) -> configuration.Configuration:
    logs.configure_logs()
    try:
        return configuration.load_configuration(path, role)
    except configuration.ConfigurationError as error:
        sys.stderr.write(f"{error}\n")
        raise typer.Exit(EXIT_USAGE) from None


def _run(
    run: Run, config: configuration.Configuration, receiver: signals.SignalReceiver
) -> None:
    try:
        eventloop.run(lambda requests: run(config, requests), receiver)
    except BaseException as error:
        logs.record_failure(error, config.instance)
        raise typer.Exit(EXIT_FAILED) from None
