"""Baseline selectors, with which benchmarks compare the production selector."""

from __future__ import annotations

import enum
import typing

import xxhash

from chicoryweir_policy import requests
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import views


class Baseline(enum.Enum):
    """Kind of a baseline selector."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_CONNECTIONS = "least_connections"


class _Strategy(typing.Protocol):
    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Returns one of the usable endpoints."""


class _RandomStrategy:
    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Returns an endpoint by a hash of the request's identifier."""
        digest = xxhash.xxh64_intdigest(request.request_id.encode())
        return usable[digest % len(usable)]


class _RoundRobinStrategy:
    def __init__(self) -> None:
        self._position = 0

    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Returns the next endpoint in rotation."""
        self._position += 1
        return usable[self._position % len(usable)]


class _LeastConnectionsStrategy:
    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Returns the endpoint with the fewest attempts, reported or sent since."""
        return min(usable, key=lambda view: view.reported_attempts + view.own_attempts)


class BaselineSelector:
    """Selects among all available endpoints, regardless of the content."""

    def __init__(self, strategy: _Strategy) -> None:
        self._strategy = strategy

    def select_endpoint(
        self,
        request: requests.Request,
        fleet: views.Fleet,
        excluded: frozenset[str],
        data_centre: str,
        now: float,
        *,
        suspect: bool = False,
        spill_wait_s: float = selection.SPILL_WAIT_S,
    ) -> selection.Selection:
        """Selects an endpoint; see `selection.Selector`."""
        usable: list[views.EndpointView] = []
        for member in fleet.list_members(request.service):
            view = fleet.get_view(member.instance)
            if view is None or view.instance in excluded:
                continue
            if view.is_available(request.model, now):
                usable.append(view)
        if not usable:
            return selection.NoneAvailable(
                selection.Reason.UNAVAILABLE, selection.RETRY_AFTER_MS
            )
        chosen = self._strategy.choose(request, usable)
        mean_wait_s = fleet.compute_mean_wait(request.service, request.priority)
        wait_s = chosen.predict_wait(request.priority, mean_wait_s, now)
        return selection.Selected(chosen.instance, wait_s, 0, spilled=False)


def make_baseline(baseline: Baseline) -> selection.Selector:
    """Creates a selector of the given kind."""
    match baseline:
        case Baseline.RANDOM:
            return BaselineSelector(_RandomStrategy())
        case Baseline.ROUND_ROBIN:
            return BaselineSelector(_RoundRobinStrategy())
        case Baseline.LEAST_CONNECTIONS:
            return BaselineSelector(_LeastConnectionsStrategy())
        case _:
            typing.assert_never(baseline)
