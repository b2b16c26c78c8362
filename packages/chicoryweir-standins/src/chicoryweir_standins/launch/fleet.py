"""Starts a fleet, restarts its endpoints and stops it."""

from __future__ import annotations

import asyncio
import json
import pathlib
import secrets
import shutil
import tempfile
import typing

import httpx

from chicoryweir_platform import http_store
from chicoryweir_policy import store
from chicoryweir_standins.launch import plan
from chicoryweir_standins.launch import processes

_RESTART_DELAY_S = 1.0
_START_TIMEOUT_S = 30.0
_POLL_PERIOD_S = 0.05
_DRAIN_TIMEOUT_S = 40.0
_STANDIN_STOP_TIMEOUT_S = 5.0
_ENDPOINT_KINDS = ("engine", "service")


class StartError(Exception):
    """A process of the fleet did not start or did not become ready."""


class Fleet:
    """The processes of one plan."""

    def __init__(self, fleet_plan: plan.FleetPlan, directory: pathlib.Path) -> None:
        """Writes the configuration of every process into `directory`."""
        self.plan = fleet_plan
        self.directory = directory
        self.children = {
            process.name: processes.Child(process, directory)
            for process in fleet_plan.processes
        }
        self.restarts: dict[str, int] = {}
        self.restarted_kinds: set[str] = set(_ENDPOINT_KINDS)
        self._supervisors: list[asyncio.Task[None]] = []
        self._write_files()

    @property
    def client_file(self) -> pathlib.Path:
        """The operators' client file."""
        return self.directory / "client.json"

    def list_pids(self) -> dict[str, list[int]]:
        """Returns the process ids by kind of process."""
        pids: dict[str, list[int]] = {}
        for child in self.children.values():
            pids.setdefault(child.process.kind, []).append(child.pid)
        return pids

    def list_names(self, kind: str) -> list[str]:
        """Returns the names of the processes of one kind."""
        return [p.name for p in self.plan.processes if p.kind == kind]

    def list_urls(self, kind: str) -> list[str]:
        """Returns the base URLs of the endpoints of one kind."""
        configs = [p.config for p in self.plan.processes if p.kind == kind]
        return [f"http://{config['ip']}:{config['port']}" for config in configs]

    async def start(self) -> None:
        """Starts all processes; returns once all entries are ready.

        Raises:
            StartError: A process exited or was not ready in time.
        """
        await self._start_kinds("platform", "switchboard")
        await self._wait_ready(self.plan.platform_url + "/control/counts", "platform")
        await self._wait_ready(self.plan.switchboard_url + "/runs", "switchboard")
        await self._seed_platform()
        await self._start_kinds("engine", "service")
        await self._start_kinds("agent", "entry")
        for name, url in zip(
            self.list_names("entry"), self.plan.entry_urls, strict=True
        ):
            await self._wait_ready(url + "/readyz", name)
        for child in self.children.values():
            self._supervisors.append(asyncio.create_task(self._supervise(child)))

    async def stop(self) -> dict[str, int | None]:
        """Stops all processes gracefully; returns their exit codes by name."""
        for supervisor in self._supervisors:
            supervisor.cancel()
        await asyncio.gather(*self._supervisors, return_exceptions=True)
        codes: dict[str, int | None] = {}
        for kinds, timeout_s in (
            (("entry",), _DRAIN_TIMEOUT_S),
            (("agent",), _DRAIN_TIMEOUT_S),
            (("engine", "service"), _STANDIN_STOP_TIMEOUT_S),
            (("platform", "switchboard"), _STANDIN_STOP_TIMEOUT_S),
        ):
            children = [c for c in self.children.values() if c.process.kind in kinds]
            codes.update(await processes.stop_all(children, timeout_s))
        return codes

    def remove_files(self) -> None:
        """Removes the configuration and log files."""
        shutil.rmtree(self.directory, ignore_errors=True)

    def describe(self) -> dict[str, typing.Any]:
        """Returns the URLs, keys and names that a caller of the fleet needs."""
        return {
            "entries": list(self.plan.entry_urls),
            "caller_key": self.plan.keys.caller,
            "operator_key": self.plan.keys.operator,
            "model": plan.MODEL,
            "service": self.plan.size.plain_service,
            "settings": str(self.client_file),
            "pids": self.list_pids(),
            "control": self.plan.switchboard_url,
        }

    async def wait_exit(self, name: str, pid: int, timeout_s: float) -> int | None:
        """Waits until the process with this name and process id has exited.

        Returns:
            Its exit code, or None if it still runs after the timeout.
        """
        child = self.children[name]
        for _ in range(int(timeout_s / _POLL_PERIOD_S)):
            if pid in child.exit_codes:
                return child.exit_codes[pid]
            await asyncio.sleep(_POLL_PERIOD_S)
        return None

    async def set_listing(self, name: str, state: str | None) -> None:
        """Changes an instance's state in the platform's list; None removes it."""
        listing = self.children[name].process.listing
        if listing is None:
            return
        url = f"{self.plan.platform_url}/control/instances/{name}"
        async with httpx.AsyncClient(timeout=5.0) as client:
            if state is None:
                await client.delete(url)
            else:
                await client.put(url, json={**listing, "state": state})

    def _write_files(self) -> None:
        for process in self.plan.processes:
            path = self.directory / f"{process.name}.json"
            path.write_text(json.dumps(process.config, indent=2))
        client = {
            "entries": list(self.plan.entry_urls),
            "operator_key": self.plan.keys.operator,
        }
        self.client_file.write_text(json.dumps(client, indent=2))

    async def _start_kinds(self, *kinds: str) -> None:
        children = [c for c in self.children.values() if c.process.kind in kinds]
        await asyncio.gather(*(child.start() for child in children))

    async def _seed_platform(self) -> None:
        client = http_store.create_store(self.plan.platform_url)
        tree = json.dumps(self.plan.settings, indent=2).encode()
        head: store.Json = {
            "version": 1,
            "object": "settings/1",
            "change_id": "bootstrap",
        }
        stored = await client.run(store.PutObject("settings/1", tree))
        head_result = await client.run(
            store.Transact(
                (store.Check("settings/head", 0),),
                (store.Write("settings/head", head),),
            )
        )
        if not isinstance(head_result, store.Committed):
            raise StartError(f"settings were not stored: {stored}, {head_result}")
        for name, child in self.children.items():
            if child.process.listing is not None:
                await self.set_listing(name, "live")

    async def _wait_ready(self, url: str, name: str) -> None:
        child = self.children[name]
        async with httpx.AsyncClient(timeout=2.0) as client:
            for _ in range(int(_START_TIMEOUT_S / _POLL_PERIOD_S)):
                if child.returncode is not None:
                    break
                try:
                    if (await client.get(url)).status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await asyncio.sleep(_POLL_PERIOD_S)
        raise StartError(
            f"{name} is not ready (exit code {child.returncode}); the end of its "
            f"log:\n{child.read_log_tail()}"
        )

    async def _supervise(self, child: processes.Child) -> None:
        while True:
            await child.wait()
            name = child.process.name
            if child.process.kind not in self.restarted_kinds:
                await self.set_listing(name, None)
                return
            self.restarts[name] = self.restarts.get(name, 0) + 1
            await asyncio.sleep(_RESTART_DELAY_S)
            await child.start()


def create_keys() -> plan.Keys:
    """Creates the secrets of one fleet."""
    return plan.Keys(
        caller=secrets.token_hex(16),
        operator=secrets.token_hex(16),
        cluster=secrets.token_hex(32),
    )


def create_fleet(size: plan.FleetSize, workspaces: tuple[str, ...] = ()) -> Fleet:
    """Creates a fleet with its files in a new temporary directory."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="chicoryweir-"))
    return Fleet(plan.plan_fleet(size, create_keys(), workspaces), directory)
