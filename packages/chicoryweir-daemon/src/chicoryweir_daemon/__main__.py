"""Command line of the daemons."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import typing

import typer

from chicoryweir_daemon import configuration
from chicoryweir_daemon import logs
from chicoryweir_policy.membership import instances

EXIT_USAGE = 2

Config = typing.Annotated[pathlib.Path, typer.Option(help="Configuration file.")]

app = typer.Typer(add_completion=False, help="The chicoryweir daemon.")


@app.command("entry")
def run_entry(config: Config) -> None:
    """Runs the daemon of an entry instance."""
    from chicoryweir_daemon.entry import service

    parsed_config = _load(config, instances.Role.ENTRY)
    asyncio.run(service.run_entry(parsed_config))


@app.command("agent")
def run_agent(config: Config) -> None:
    """Runs the daemon of an endpoint's agent."""
    from chicoryweir_daemon.agent import service

    parsed_config = _load(config, instances.Role.AGENT)
    asyncio.run(service.run_agent(parsed_config))


def _load(path: pathlib.Path, role: instances.Role) -> configuration.Configuration:
    logs.configure_logs()
    try:
        return configuration.load_configuration(path, role)
    except configuration.ConfigurationError as error:
        sys.stderr.write(f"{error}\n")
        raise typer.Exit(EXIT_USAGE) from None


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
