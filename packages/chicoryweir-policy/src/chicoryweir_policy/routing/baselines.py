"""Plain ways of selecting endpoints, to compare the selector in use with."""

from __future__ import annotations

import enum
import typing

import xxhash

from chicoryweir_policy import requests
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import views


class Baseline(enum.Enum):
    """Plain ways of selecting."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_CONNECTIONS = "least_connections"


class _Choice(typing.Protocol):
    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Chooses one of the usable endpoints."""


class _RandomChoice:
    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Chooses by a hash of the request's identifier."""
        digest = xxhash.xxh64_intdigest(request.request_id.encode())
        return usable[digest % len(usable)]


class _RoundRobinChoice:
    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Chooses the next in turn."""
        self._turn += 1
        return usable[self._turn % len(usable)]


class _LeastConnectionsChoice:
    def choose(
        self, request: requests.Request, usable: list[views.EndpointView]
    ) -> views.EndpointView:
        """Chooses the one with the fewest attempts reported and sent since."""
        return min(usable, key=lambda view: view.reported_attempts + view.own_attempts)


class BaselineSelector:
    """Selects among all available endpoints, whatever the content."""

    def __init__(self, choice: _Choice) -> None:
        self._choice = choice

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
        chosen = self._choice.choose(request, usable)
        mean_wait_s = fleet.compute_mean_wait(request.service, request.priority)
        wait_s = chosen.predict_wait(request.priority, mean_wait_s, now)
        return selection.Selected(chosen.instance, wait_s, 0, spilled=False)


def make_baseline(baseline: Baseline) -> selection.Selector:
    """Makes a selector of the given kind."""
    match baseline:
        case Baseline.RANDOM:
            return BaselineSelector(_RandomChoice())
        case Baseline.ROUND_ROBIN:
            return BaselineSelector(_RoundRobinChoice())
        case Baseline.LEAST_CONNECTIONS:
            return BaselineSelector(_LeastConnectionsChoice())
        case _:
            typing.assert_never(baseline)
