"""Chooses the endpoints that load an artifact, and those that make room.

A surplus replica stays where it is until its room is needed: it costs nothing, and
demand that comes back finds it loaded. So nothing flaps with demand.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy.orders import artifacts


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationSettings:
    """Bounds of the planner.

    Attributes:
        models_per_endpoint: Room for models.
        adapters_per_endpoint: Room for adapters.
        min_stay_s: Time that an artifact stays at an endpoint at the least.
    """

    models_per_endpoint: int = 1
    adapters_per_endpoint: int = 4
    min_stay_s: float = 300.0

    def find_room(self, kind: str) -> int:
        """Returns how many artifacts of a kind an endpoint has room for."""
        rooms = {
            artifacts.Kind.MODEL.value: self.models_per_endpoint,
            artifacts.Kind.ADAPTER.value: self.adapters_per_endpoint,
            artifacts.Kind.ROLE.value: 1,
        }
        return rooms[kind]


_Planned = tuple[artifacts.Endpoint, artifacts.Action, artifacts.Artifact]


class _Fleet:
    """The endpoints, with the orders planned so far taken into account."""

    def __init__(self, endpoints: collections.abc.Iterable[artifacts.Endpoint]) -> None:
        self.endpoints = [endpoint for endpoint in endpoints if endpoint.serving]
        self.held = {
            endpoint.instance: {held.artifact: held.since for held in endpoint.held}
            for endpoint in self.endpoints
        }
        self.counts = collections.Counter(
            artifact for held in self.held.values() for artifact in held
        )

    def list_kind(self, instance: str, kind: str) -> list[artifacts.Artifact]:
        """Returns what an endpoint holds of a kind."""
        return [found for found in self.held[instance] if found.kind == kind]

    def count_places(self, artifact: artifacts.Artifact) -> collections.Counter[str]:
        """Returns how many endpoints of each place hold an artifact."""
        return collections.Counter(
            endpoint.place
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
    """Plans the orders that bring the fleet nearer to what is needed.

    An endpoint that makes room gets its load in a later plan, after it has reported.

    Args:
        endpoints: Endpoints of a service, with what they hold or are loading.
        needs: Endpoints that each artifact needs.
        settings: Bounds.
        loads_allowed: Loads that the weight store's rate allows now.
        fence: Fencing number of the lease under which the orders are given.
        last_sequence: Number of the last order under this lease.
        now: Present time, in seconds.

    Returns:
        Orders; the artifact that lacks the largest share of its need comes first.
    """
    fleet = _Fleet(endpoints)
    orders: list[artifacts.Order] = []
    missing = [
        artifact
        for artifact, need in needs.items()
        for _ in range(min(need, len(fleet.endpoints)) - fleet.counts[artifact])
    ]
    missing.sort(key=lambda a: (fleet.counts[a] / needs[a], a))
    full: set[artifacts.Artifact] = set()
    for artifact in missing:
        if len(orders) >= loads_allowed:
            break
        if artifact in full:
            continue
        plan = _plan_one(fleet, artifact, needs, settings, now)
        if plan is None:
            full.add(artifact)
            continue
        last_sequence += 1
        endpoint, action, subject = plan
        orders.append(
            artifacts.Order(
                fence,
                last_sequence,
                endpoint.instance,
                endpoint.incarnation,
                action,
                subject,
            )
        )
    return tuple(orders)


def _plan_one(
    fleet: _Fleet,
    artifact: artifacts.Artifact,
    needs: collections.abc.Mapping[artifacts.Artifact, int],
    settings: AllocationSettings,
    now: float,
) -> _Planned | None:
    """Plans a load where there is room, else an unload that makes room."""
    lacking = [e for e in fleet.endpoints if artifact not in fleet.held[e.instance]]
    places = fleet.count_places(artifact)
    lacking.sort(key=lambda e: (places[e.place], *_rank_endpoint(fleet, artifact, e)))
    room = settings.find_room(artifact.kind)
    for endpoint in lacking:
        if len(fleet.list_kind(endpoint.instance, artifact.kind)) < room:
            return _load(fleet, endpoint, artifact, now)
    for endpoint in lacking:
        spared = _find_spared(fleet, endpoint, artifact.kind, needs, settings, now)
        if spared is None:
            continue
        del fleet.held[endpoint.instance][spared]
        fleet.counts[spared] -= 1
        if artifact.kind == artifacts.Kind.ROLE.value:
            return _load(fleet, endpoint, artifact, now)
        fleet.held[endpoint.instance][artifact] = now
        return endpoint, artifacts.Action.UNLOAD, spared
    return None


def _load(
    fleet: _Fleet,
    endpoint: artifacts.Endpoint,
    artifact: artifacts.Artifact,
    now: float,
) -> _Planned:
    fleet.held[endpoint.instance][artifact] = now
    fleet.counts[artifact] += 1
    return endpoint, artifacts.Action.LOAD, artifact


def _rank_endpoint(
    fleet: _Fleet, artifact: artifacts.Artifact, endpoint: artifacts.Endpoint
) -> tuple[int, int]:
    """Orders the endpoints of a place: those with few artifacts first, then a hash."""
    text = f"{artifact.kind}/{artifact.name}/{endpoint.instance}"
    return (
        len(fleet.list_kind(endpoint.instance, artifact.kind)),
        xxhash.xxh64_intdigest(text.encode()),
    )


def _find_spared(
    fleet: _Fleet,
    endpoint: artifacts.Endpoint,
    kind: str,
    needs: collections.abc.Mapping[artifacts.Artifact, int],
    settings: AllocationSettings,
    now: float,
) -> artifacts.Artifact | None:
    """Returns an artifact that others hold often enough and that stayed its time."""
    held = fleet.held[endpoint.instance]
    spared = [
        artifact
        for artifact in fleet.list_kind(endpoint.instance, kind)
        if fleet.counts[artifact] > needs.get(artifact, 0)
        and now - held[artifact] >= settings.min_stay_s
    ]
    return max(
        spared,
        key=lambda found: (fleet.counts[found] - needs.get(found, 0), found),
        default=None,
    )
