"""Command line of the stand-ins."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import sys
import typing

from chicoryweir_standins import service
from chicoryweir_standins import serving
from chicoryweir_standins import switchboard
from chicoryweir_standins.bench import command as bench_command
from chicoryweir_standins.bench import hedges
from chicoryweir_standins.capacity import command as capacity_command
from chicoryweir_standins.demo import walkthrough
from chicoryweir_standins.engine import app as engine_app
from chicoryweir_standins.engine import configuration
from chicoryweir_standins.launch import plan
from chicoryweir_standins.launch import signals
from chicoryweir_standins.launch import up
from chicoryweir_standins.load import command as load_command
from chicoryweir_standins.platform import app as platform_app
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import planned_stops
from chicoryweir_standins.soak import command as soak_command


def _read_config(path: str) -> dict[str, typing.Any]:
    document = json.loads(pathlib.Path(path).read_text())
    assert isinstance(document, dict)
    return document


def _run_platform(arguments: argparse.Namespace) -> int:
    config = platform_app.PlatformConfig(**_read_config(arguments.config))
    serving.run_app(platform_app.create_app(config), config.ip, config.port)
    return 0


def _run_engine(arguments: argparse.Namespace) -> int:
    engine_app.run_engine(configuration.parse_config(_read_config(arguments.config)))
    return 0


def _run_service(arguments: argparse.Namespace) -> int:
    service.run_service(service.ServiceConfig(**_read_config(arguments.config)))
    return 0


def _run_switchboard(arguments: argparse.Namespace) -> int:
    config = switchboard.SwitchboardConfig(**_read_config(arguments.config))
    switchboard.run_switchboard(config)
    return 0


def _run_up(_: argparse.Namespace) -> int:
    return asyncio.run(up.run_until_stopped(plan.FleetSize()))


def _run_explore(arguments: argparse.Namespace) -> int:
    walk = planned_stops.walk_once if arguments.planned else exploration.walk_mixed
    explored = exploration.explore(arguments.seed, arguments.seconds, walk)
    sys.stdout.write(f"{explored}\nno guarantee was broken\n")
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="chicoryweir_standins")
    commands = parser.add_subparsers(required=True)
    for name, run, text in (
        ("platform", _run_platform, "serves the platform's stand-in"),
        ("engine", _run_engine, "serves a model engine's stand-in"),
        ("service", _run_service, "serves a plain service's stand-in"),
        ("switchboard", _run_switchboard, "serves the stand-ins' switchboard"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", required=True, help="JSON configuration file")
        command.set_defaults(run=run)
    command = commands.add_parser(
        "demo", help="demonstrates the request path step by step"
    )
    command.set_defaults(run=lambda _: signals.run_cancellable(walkthrough.run_demo()))
    command = commands.add_parser("load", help="sends load to running entries")
    load_command.add_arguments(command)
    command.set_defaults(run=load_command.run)
    command = commands.add_parser("bench", help="measures a fleet that it starts")
    bench_command.add_arguments(command)
    command.set_defaults(run=bench_command.run)
    command = commands.add_parser("hedges", help="measures hedges on a fleet")
    hedges.add_arguments(command)
    command.set_defaults(run=hedges.run)
    command = commands.add_parser("capacity", help="measures idle daemons")
    capacity_command.add_arguments(command)
    command.set_defaults(run=capacity_command.run)
    command = commands.add_parser("soak", help="runs a long randomised test")
    soak_command.add_arguments(command)
    command.set_defaults(run=soak_command.run)
    command = commands.add_parser(
        "explore", help="explores random schedules of the cores"
    )
    command.add_argument("--seed", type=int, default=1, help="first seed")
    command.add_argument("--seconds", type=float, default=60.0, help="duration")
    command.add_argument(
        "--planned", action="store_true", help="only load and planned stops"
    )
    command.set_defaults(run=_run_explore)
    command = commands.add_parser("up", help="runs a fleet until a signal")
    command.set_defaults(run=_run_up)
    return parser


def main() -> int:
    """Runs the command named on the command line; returns its exit code."""
    arguments = _build_parser().parse_args()
    code: int = arguments.run(arguments)
    return code


if __name__ == "__main__":
    sys.exit(main())
