"""Endpoints that entries may send to, kept through lapses of their registration."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

# An endpoint that lives registers again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.2


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """An endpoint's place in a group that works in lock-step.

    Attributes:
        group: Name of the group.
        epoch: Grows each time that the group forms anew.
        rank: Place in the group, from 0.
        size: Ranks in the group.
        is_open: Whether the group works.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as it registers itself.

    Attributes:
        instance: Name of the instance, unique to one process of the endpoint.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        data_centre: Data centre it stands in.
        slots: Requests that it runs at a time.
        leaving: Whether it takes nothing new.
        cold_s: Time for which it stays slow after its start, in seconds.
        born_ms: Unix time of its start, in milliseconds; 0 where it isn't told.
        member: Its place in a group; None for none.
    """

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    cold_s: float
    born_ms: int
    member: GroupMember | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Registered:
    """An instance's registration changed."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """An instance's registration is gone, or holds nothing that can be used.

    Attributes:
        instance: Name of the instance.
        reason: Why it can't be used; empty when it is gone.
    """

    instance: str
    reason: str = ""


Change = Registered | Removed


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """What a change means for one endpoint, in a word."""

    instance: str
    service: str
    meaning: str


class EndpointTable:
    """Endpoints known to one entry.

    A registration that vanishes while the store is away, or just after its return,
    may have lapsed although the endpoint lives. It is kept until `LAPSE_GRACE_S` after
    the store's return. Of registrations at one address only the one that started last
    is used; an older one is left from a process that ended.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._addresses: dict[tuple[str, int], set[str]] = {}
        self._outdated: set[str] = set()
        self._missing: dict[str, float] = {}
        self._store_unreachable = False
        self._returned_at = -math.inf

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._store_unreachable

    def get(self, instance: str) -> Endpoint | None:
        """Returns an endpoint that is registered, or was until lately."""
        return self._endpoints.get(instance)

    def find_by_address(self, address: str) -> Endpoint | None:
        """Returns the endpoint at an address of the form host:port."""
        for endpoint in self._endpoints.values():
            if f"{endpoint.host}:{endpoint.port}" == address:
                return endpoint
        return None

    def list_usable(self, service: str, now: float) -> list[Endpoint]:
        """Returns the endpoints of a service that take new requests at `now`."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
            and not endpoint.leaving
            and endpoint.instance not in self._outdated
            and not self._has_lapsed(endpoint.instance, now)
        ]

    def list_all(self) -> list[Endpoint]:
        """Returns all endpoints."""
        return list(self._endpoints.values())

    def list_current(self) -> list[Endpoint]:
        """Returns the endpoints but for registrations left from ended processes."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.instance not in self._outdated
        ]

    def record_store_call(self, reachable: bool, now: float) -> None:
        """Records whether the last call to the store succeeded."""
        if reachable and self._store_unreachable:
            self._returned_at = now
        self._store_unreachable = not reachable

    def apply(self, change: Change, now: float) -> Transition | None:
        """Applies one change; returns what it means, or None for nothing."""
        match change:
            case Registered(endpoint):
                return self._register(endpoint)
            case Removed(instance):
                return self._remove(instance, now)

    def remove_displaced(self, instance: str) -> Transition | None:
        """Drops an endpoint at whose address another instance has answered."""
        if instance not in self._endpoints:
            return None
        return self._drop(instance, "displaced")

    def replace_all(
        self, registered: collections.abc.Iterable[Endpoint], now: float
    ) -> list[Transition]:
        """Applies a whole listing; endpoints that it lacks count as removed."""
        listed = {endpoint.instance: endpoint for endpoint in registered}
        absent = [name for name in self._endpoints if name not in listed]
        found = [self._register(endpoint) for endpoint in listed.values()]
        found += [self._remove(instance, now) for instance in absent]
        return [transition for transition in found if transition is not None]

    def expire(self, now: float) -> list[Transition]:
        """Drops endpoints that did not register again after the store's return."""
        due = [name for name in self._missing if self._has_lapsed(name, now)]
        return [self._drop(name, "lapsed") for name in due]

    def _has_lapsed(self, instance: str, now: float) -> bool:
        return (
            not self._store_unreachable and self._missing.get(instance, math.inf) <= now
        )

    def _register(self, endpoint: Endpoint) -> Transition | None:
        self._missing.pop(endpoint.instance, None)
        before = self._endpoints.get(endpoint.instance)
        if before is not None and _locate(before) != _locate(endpoint):
            self._vacate(before)
        self._endpoints[endpoint.instance] = endpoint
        if before is None or before != endpoint:
            self._occupy(endpoint)
        if before is None:
            return Transition(endpoint.instance, endpoint.service, "registered")
        if endpoint.born_ms != before.born_ms:
            return Transition(endpoint.instance, endpoint.service, "restarted")
        if endpoint.leaving and not before.leaving:
            return Transition(endpoint.instance, endpoint.service, "leaving")
        return None

    def _remove(self, instance: str, now: float) -> Transition | None:
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return None
        held_until = self._returned_at + LAPSE_GRACE_S
        if endpoint.leaving or (not self._store_unreachable and held_until <= now):
            return self._drop(instance, "removed")
        if instance not in self._missing:
            self._missing[instance] = (
                held_until if not self._store_unreachable else math.inf
            )
            return Transition(instance, endpoint.service, "missing")
        return None

    def _drop(self, instance: str, meaning: str) -> Transition:
        self._missing.pop(instance, None)
        endpoint = self._endpoints.pop(instance)
        self._vacate(endpoint)
        if endpoint.leaving:
            meaning = "left"
        return Transition(instance, endpoint.service, meaning)

    def _occupy(self, endpoint: Endpoint) -> None:
        self._addresses.setdefault(_locate(endpoint), set()).add(endpoint.instance)
        self._order(_locate(endpoint))

    def _vacate(self, endpoint: Endpoint) -> None:
        self._outdated.discard(endpoint.instance)
        place = _locate(endpoint)
        self._addresses[place].discard(endpoint.instance)
        if self._addresses[place]:
            self._order(place)
        else:
            del self._addresses[place]

    def _order(self, place: tuple[str, int]) -> None:
        """Marks all but the latest start at an address as outdated."""
        sharing = [self._endpoints[instance] for instance in self._addresses[place]]
        latest = max(endpoint.born_ms for endpoint in sharing)
        for endpoint in sharing:
            if endpoint.born_ms < latest:
                self._outdated.add(endpoint.instance)
            else:
                self._outdated.discard(endpoint.instance)


def _locate(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.host, endpoint.port
