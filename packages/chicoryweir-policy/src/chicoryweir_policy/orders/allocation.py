"""Selects the endpoints that load an artifact and those that unload one.

A surplus replica stays loaded until its slot is needed: it costs nothing and is ready
when demand returns. This prevents flapping with demand.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy.orders import artifacts


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationSettings:
    """Limits of the allocation.

    Attributes:
        models_per_endpoint: Maximum number of models at an endpoint.
        adapters_per_endpoint: Maximum number of adapters at an endpoint.
        min_stay_s: Minimum time that an artifact stays loaded, in seconds.
    """

    models_per_endpoint: int = 1
    adapters_per_endpoint: int = 4
    min_stay_s: float = 300.0

    def get_capacity(self, kind: str) -> int:
        """Returns the maximum number of artifacts of a kind at one endpoint."""
        capacities = {
            artifacts.Kind.MODEL.value: self.models_per_endpoint,
            artifacts.Kind.ADAPTER.value: self.adapters_per_endpoint,
            artifacts.Kind.ROLE.value: 1,
        }
        return capacities[kind]


_PlannedOrder = tuple[artifacts.Endpoint, artifacts.Action, artifacts.Artifact]


class _Fleet:
    """Serving endpoints with the effects of the orders planned so far."""

    def __init__(self, endpoints: collections.abc.Iterable[artifacts.Endpoint]) -> None:
        self.endpoints = [endpoint for endpoint in endpoints if endpoint.serving]
        self.held = {
            endpoint.instance: {held.artifact: held.since for held in endpoint.held}
            for endpoint in self.endpoints
        }
        self.counts = collections.Counter(
            artifact for held in self.held.values() for artifact in held
        )

    def list_held(self, instance: str, kind: str) -> list[artifacts.Artifact]:
        """Returns the artifacts of a kind that an endpoint holds."""
        return [artifact for artifact in self.held[instance] if artifact.kind == kind]

    def count_by_data_centre(
        self, artifact: artifacts.Artifact
    ) -> collections.Counter[str]:
        """Returns the number of endpoints that hold an artifact, by data centre."""
        return collections.Counter(
            endpoint.data_centre
            for endpoint in self.endpoints
            if artifact in self.held[endpoint.instance]
        )


def plan_orders(
    endpoints: collections.abc.Iterable[artifacts.Endpoint],
    needs: collections.abc.Mapping[artifacts.Artifact, int],
    settings: AllocationSettings,
    loads_allowed: int,
    fence: int,
    last_sequence: int,
    now: float,
) -> tuple[artifacts.Order, ...]:
    """Plans orders that bring the fleet closer to the needed allocation.

    An endpoint that unloads an artifact gets the replacement in a later plan, after it
    has reported the unload.

    Args:
        endpoints: Endpoints of a service, with the artifacts they hold or are loading.
        needs: Number of endpoints that each artifact needs.
        settings: Limits of the allocation.
        loads_allowed: Number of loads that the weight store's bandwidth allows now;
            limits all orders.
        fence: Fencing token of the lease under which the orders are issued.
        last_sequence: Number of the latest order under this lease.
        now: Present time, in seconds.

    Returns:
        Orders, first those for the artifact with the lowest share of its need met.
    """
    fleet = _Fleet(endpoints)
    orders: list[artifacts.Order] = []
    missing = [
        artifact
        for artifact, need in needs.items()
        for _ in range(min(need, len(fleet.endpoints)) - fleet.counts[artifact])
    ]
    missing.sort(
        key=lambda artifact: (fleet.counts[artifact] / needs[artifact], artifact)
    )
    unplaceable: set[artifacts.Artifact] = set()
    for artifact in missing:
        if len(orders) >= loads_allowed:
            break
        if artifact in unplaceable:
            continue
        planned_order = _plan_artifact(fleet, artifact, needs, settings, now)
        if planned_order is None:
            unplaceable.add(artifact)
            continue
        last_sequence += 1
        endpoint, action, order_artifact = planned_order
        orders.append(
            artifacts.Order(
                fence,
                last_sequence,
                endpoint.instance,
                endpoint.incarnation,
                action,
                order_artifact,
            )
        )
    return tuple(orders)


def _plan_artifact(
    fleet: _Fleet,
    artifact: artifacts.Artifact,
    needs: collections.abc.Mapping[artifacts.Artifact, int],
    settings: AllocationSettings,
    now: float,
) -> _PlannedOrder | None:
    """Plans a load at an endpoint with a free slot, else an unload that frees one."""
    lacking = [
        candidate
        for candidate in fleet.endpoints
        if artifact not in fleet.held[candidate.instance]
    ]
    by_data_centre = fleet.count_by_data_centre(artifact)
    lacking.sort(
        key=lambda candidate: (
            by_data_centre[candidate.data_centre],
            *_rank_endpoint(fleet, artifact, candidate),
        )
    )
    capacity = settings.get_capacity(artifact.kind)
    for endpoint in lacking:
        if len(fleet.list_held(endpoint.instance, artifact.kind)) < capacity:
            return _plan_load(fleet, endpoint, artifact, now)
    for endpoint in lacking:
        surplus = _find_surplus(fleet, endpoint, artifact.kind, needs, settings, now)
        if surplus is None:
            continue
        del fleet.held[endpoint.instance][surplus]
        fleet.counts[surplus] -= 1
        if artifact.kind == artifacts.Kind.ROLE.value:
            return _plan_load(fleet, endpoint, artifact, now)
        fleet.held[endpoint.instance][artifact] = now
        return endpoint, artifacts.Action.UNLOAD, surplus
    return None


def _plan_load(
    fleet: _Fleet,
    endpoint: artifacts.Endpoint,
    artifact: artifacts.Artifact,
    now: float,
) -> _PlannedOrder:
    fleet.held[endpoint.instance][artifact] = now
    fleet.counts[artifact] += 1
    return endpoint, artifacts.Action.LOAD, artifact


def _rank_endpoint(
    fleet: _Fleet, artifact: artifacts.Artifact, endpoint: artifacts.Endpoint
) -> tuple[int, int]:
    """Returns a sort key: endpoints with fewer artifacts first, then by hash."""
    text = f"{artifact.kind}/{artifact.name}/{endpoint.instance}"
    return (
        len(fleet.list_held(endpoint.instance, artifact.kind)),
        xxhash.xxh64_intdigest(text.encode()),
    )


def _find_surplus(
    fleet: _Fleet,
    endpoint: artifacts.Endpoint,
    kind: str,
    needs: collections.abc.Mapping[artifacts.Artifact, int],
    settings: AllocationSettings,
    now: float,
) -> artifacts.Artifact | None:
    """Returns the artifact with the largest surplus past its minimum stay, if any."""
    held = fleet.held[endpoint.instance]
    candidates = [
        artifact
        for artifact in fleet.list_held(endpoint.instance, kind)
        if fleet.counts[artifact] > needs.get(artifact, 0)
        and now - held[artifact] >= settings.min_stay_s
    ]
    return max(
        candidates,
        key=lambda artifact: (
            fleet.counts[artifact] - needs.get(artifact, 0),
            artifact,
        ),
        default=None,
    )
