"""Stand-in for a plain service: serves any path and describes the call it ran."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import os
import typing

import litestar
from litestar import datastructures
from litestar import params

from chicoryweir_standins import reporting
from chicoryweir_standins import serving

Json = dict[str, typing.Any]
Request = litestar.Request[typing.Any, typing.Any, typing.Any]

CRASH_TRIGGER = b"POISON-CRASH"
CRASH_EXIT_CODE = 13


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Configuration of a plain service.

    Attributes:
        instance: Name of the endpoint.
        service: Name of the service.
        ip: Address to listen on.
        port: Port to listen on.
        run_ms: Duration of one call.
        switchboard_url: URL that runs are reported to; empty disables reports.
    """

    instance: str
    service: str
    ip: str
    port: int
    run_ms: float = 5.0
    switchboard_url: str = ""


class PlainService:
    """Runs calls, and holds the state of the service."""

    def __init__(self, config: ServiceConfig) -> None:
        """Creates a service that is not stalled."""
        self.config = config
        self.reporter = reporting.RunReporter(config.switchboard_url)
        self.run_numbers = itertools.count(1)
        self.resumed = asyncio.Event()
        self.resumed.set()

    async def run(self, request: Request, raw: bytes) -> Json:
        """Reports and runs one call; returns a description of it."""
        digest = reporting.compute_body_digest(raw)
        key = request.headers.get("Idempotency-Key", "")
        await self.reporter.report(reporting.Run(self.config.instance, key, digest))
        if CRASH_TRIGGER in raw:
            os._exit(CRASH_EXIT_CODE)
        await self.resumed.wait()
        await asyncio.sleep(self.config.run_ms / 1e3)
        return {
            "service": self.config.service,
            "ran": {
                "method": request.method,
                "path": request.url.path,
                "key": key,
                "body_sha256": digest,
            },
            "run": next(self.run_numbers),
        }


@litestar.post("/control/stall", status_code=200)
async def stall(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Stalls or resumes all calls."""
    if data["stall"]:
        state.service.resumed.clear()
    else:
        state.service.resumed.set()
    return {"stall": bool(data["stall"])}


@litestar.route(
    ["/", "/{path:path}"],
    http_method=["GET", "POST", "PUT", "PATCH", "DELETE"],
    status_code=200,
)
async def run_call(state: datastructures.State, request: Request) -> Json:
    """Serves every other path."""
    service: PlainService = state.service
    return await service.run(request, await request.body())


def create_app(service: PlainService) -> litestar.Litestar:
    """Creates the application of one service."""
    return litestar.Litestar(
        route_handlers=[stall, run_call],
        state=datastructures.State({"service": service}),
        openapi_config=None,
        logging_config=None,
    )


def run_service(config: ServiceConfig) -> None:
    """Serves until SIGINT or SIGTERM."""
    service = PlainService(config)
    serving.run_app(
        create_app(service), config.ip, config.port, service.reporter.send_reports
    )
