"""Switchboard of the stand-ins: injects faults, counts runs, serves the barrier."""

from __future__ import annotations

import dataclasses
import typing

import httpx
import litestar
from litestar import datastructures
from litestar import params

from chicoryweir_standins import reporting
from chicoryweir_standins import serving
from chicoryweir_standins.group import barrier_routes

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchboardConfig:
    """Configuration of the switchboard.

    Attributes:
        ip: Address to listen on.
        port: Port to listen on.
        platform_url: Base URL of the platform's stand-in.
        endpoint_urls: Base URL of each endpoint's stand-in by name.
    """

    ip: str
    port: int
    platform_url: str
    endpoint_urls: dict[str, str]


class RunCounts:
    """Counts runs by idempotency key and by body."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self.by_key: dict[str, int] = {}
        self.by_body: dict[str, dict[str, int]] = {}
        self._counted_run_ids: set[str] = set()

    def add(self, run: reporting.Run) -> None:
        """Counts one run; ignores a duplicate report."""
        if run.run_id in self._counted_run_ids:
            return
        self._counted_run_ids.add(run.run_id)
        key = run.key
        if key:
            self.by_key[key] = self.by_key.get(key, 0) + 1
        runs = self.by_body.setdefault(run.body_sha256, {})
        runs[run.endpoint] = runs.get(run.endpoint, 0) + 1


@litestar.post("/runs", status_code=200)
async def add_runs(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Counts the runs that an endpoint reports."""
    for run in data["runs"]:
        state.counts.add(reporting.Run(**run))
    return {}


@litestar.get("/runs")
async def get_runs(state: datastructures.State) -> Json:
    """Returns the numbers of runs by key and by body."""
    return {"by_key": state.counts.by_key, "by_body": state.counts.by_body}


@litestar.post("/platform", status_code=200)
async def set_platform_faults(
    state: datastructures.State, data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Sets faults of the platform's stand-in."""
    url = state.config.platform_url + "/control/faults"
    return await _forward(url, data)


@litestar.post("/engine/{name:str}", status_code=200)
async def set_engine_faults(
    state: datastructures.State, name: params.FromPath[str], data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Stalls or resumes an engine or a plain service."""
    url = state.config.endpoint_urls.get(name)
    if url is None:
        known = sorted(state.config.endpoint_urls)
        return litestar.Response({"known": known}, status_code=404)
    return await _forward(url + "/control/stall", data)


async def _forward(url: str, data: Json) -> litestar.Response[Json]:
    try:
        async with httpx.AsyncClient(timeout=5.0) as client:
            reply = await client.post(url, json=data)
        return litestar.Response(reply.json(), status_code=reply.status_code)
    except (httpx.HTTPError, ValueError) as error:
        return litestar.Response({"detail": repr(error)}, status_code=502)


def create_app(
    config: SwitchboardConfig, coordinator: barrier_routes.Coordinator
) -> litestar.Litestar:
    """Creates the switchboard's application."""
    return litestar.Litestar(
        route_handlers=[
            add_runs,
            get_runs,
            set_platform_faults,
            set_engine_faults,
            barrier_routes.serve_barrier,
            barrier_routes.get_violations,
        ],
        state=datastructures.State(
            {"config": config, "counts": RunCounts(), "coordinator": coordinator}
        ),
        openapi_config=None,
        logging_config=None,
    )


def run_switchboard(config: SwitchboardConfig) -> None:
    """Serves until SIGINT or SIGTERM."""
    coordinator = barrier_routes.Coordinator()
    app = create_app(config, coordinator)
    serving.run_app(app, config.ip, config.port, coordinator.run_steps)
