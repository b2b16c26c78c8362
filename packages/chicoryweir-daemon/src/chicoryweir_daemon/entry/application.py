"""Builds the HTTP application of an entry."""

from __future__ import annotations

import collections.abc
import dataclasses
import time
import typing

import litestar
from litestar import response
from litestar.handlers import asgi
import xxhash

from chicoryweir_daemon.entry import callers
from chicoryweir_daemon.entry import metrics
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_policy.routing import addresses

_PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryQueries:
    """Queries of the entry's state that the HTTP routes use.

    Attributes:
        rank_addresses: Returns the entries for a caller, best first. Its arguments are
            a hash of the caller's address and the present monotonic time in seconds.
        is_ready: Returns whether the entry accepts requests.
        has_service: Returns whether the current settings contain a service.
        address_ttl_ms: Time for which a caller may cache the addresses.
        metrics_collector: Source of the metrics page.
    """

    rank_addresses: collections.abc.Callable[
        [int, float], tuple[addresses.EntryView, ...]
    ]
    is_ready: collections.abc.Callable[[], bool]
    has_service: collections.abc.Callable[[str], bool]
    address_ttl_ms: int
    metrics_collector: metrics.MetricsCollector


def make_application(
    caller_handler: callers.CallerHandler,
    queries: EntryQueries,
    operator_routers: list[typing.Any],
) -> litestar.Litestar:
    """Returns the application with the routes for callers, probes and operators."""

    @asgi("/v1", is_mount=True)
    async def serve_callers(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        await caller_handler.serve(scope, receive, send)

    @litestar.get("/v1/addresses", sync_to_thread=False)
    def list_addresses(
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        service: str = "",
    ) -> response.Response[typing.Any]:
        if service and not queries.has_service(service):
            detail = f"no service is named {service[:100]!r}"
            return problems.make_problem(404, "Unknown service", detail)
        host = request.client.host if request.client else ""
        seed = xxhash.xxh3_64_intdigest(host.encode())
        ranked = [
            {"ip": view.ip, "port": view.port, "place": view.data_centre}
            for view in queries.rank_addresses(seed, time.monotonic())
        ]
        document = {"addresses": ranked, "ttl_ms": queries.address_ttl_ms}
        return response.Response(document)

    @litestar.get("/healthz", sync_to_thread=False)
    def check_health() -> response.Response[typing.Any]:
        return response.Response({"alive": True})

    @litestar.get("/readyz", sync_to_thread=False)
    def check_readiness() -> response.Response[typing.Any]:
        ready = queries.is_ready()
        return response.Response({"ready": ready}, status_code=200 if ready else 503)

    @litestar.get("/metrics", sync_to_thread=False)
    def render_metrics() -> response.Response[bytes]:
        return response.Response(
            queries.metrics_collector.render(), media_type=_PROMETHEUS
        )

    return litestar.Litestar(
        [
            serve_callers,
            list_addresses,
            check_health,
            check_readiness,
            render_metrics,
            *operator_routers,
        ],
        openapi_config=None,
        logging_config=None,
    )
