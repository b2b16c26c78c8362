"""Runs the operator's commands of the demonstration."""

from __future__ import annotations

import asyncio
import copy
import importlib.util
import json
import os
import sys

from chicoryweir_standins.demo import calls
from chicoryweir_standins.launch import fleet


def is_cli_installed() -> bool:
    """Returns whether the operators' command line is installed."""
    return importlib.util.find_spec("chicoryweir_cli.__main__") is not None


async def run_command(running_fleet: fleet.Fleet, *arguments: str) -> tuple[int, str]:
    """Runs the operators' command line; returns its exit code and output."""
    environment = {**os.environ, "CHICORYWEIR_CLIENT": str(running_fleet.client_file)}
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "chicoryweir_cli",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await child.communicate()
    assert child.returncode is not None
    return child.returncode, output.decode(errors="replace")


async def run_and_print(running_fleet: fleet.Fleet, *arguments: str) -> None:
    """Runs one operator command; prints it and the first 20 lines of its output.

    Raises:
        DemoError: The command failed.
    """
    print(f"    $ chicoryweir {' '.join(arguments)}")
    code, output = await run_command(running_fleet, *arguments)
    for line in output.splitlines()[:20]:
        print(f"      {line}")
    if code != 0:
        raise calls.DemoError(f"the command ended with exit code {code}")


async def change_settings(running_fleet: fleet.Fleet) -> None:
    """Applies settings with a new workspace that has half the weight of the others."""
    tree = copy.deepcopy(running_fleet.plan.settings)
    tree["workspaces"]["clerks"] = {"keys_sha256": []}
    workspaces = {"clerks": {"settings": {"weight": 0.5}}}
    services = {"model-desk": {"workspaces": workspaces}}
    tree["fleet"]["places"] = {"*": {"services": services}}
    path = running_fleet.directory / "settings.jsonc"
    path.write_text("// Clerks get half the weight.\n" + json.dumps(tree, indent=2))
    await run_and_print(running_fleet, "settings", "check", str(path))
    await run_and_print(
        running_fleet, "settings", "apply", str(path), "--expect-version", "1"
    )
    await run_and_print(running_fleet, "settings", "history")
