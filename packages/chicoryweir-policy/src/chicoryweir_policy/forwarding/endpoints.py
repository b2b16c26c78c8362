"""Table of endpoints; keeps those whose registration lapsed in a store outage.

A store that was restored from a copy lists endpoints as they were when it was copied:
some have left since, and some are missing. Registrations in the copy that contradict
what is known are ignored until the platform would have removed those of ended
processes.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import ipaddress
import math

from chicoryweir_policy.forwarding import evacuations

# Bounds of a registration, far above what endpoints register. A value beyond them is
# another writer's, and would break what is computed from it.
MAX_NAME_LENGTH = 200
MAX_SLOTS = 1_000_000
# Endpoints that an entry keeps, several times the 890 that fleets are planned for. More
# are the rows of a writer in error.
MAX_ENDPOINTS = 4_096
MAX_COLD_S = 86_400.0
MAX_BORN_MS = 1 << 53
MAX_EPOCH = 1 << 53
MAX_GROUP_SIZE = 1 << 16
# Time after a store outage until missing endpoints are removed. A live endpoint
# registers again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.2
# Heartbeats after which the platform removes the registration of a silent process, and
# the time that the removal takes to arrive here.
HEARTBEATS_UNTIL_REMOVED = 3
REMOVAL_DELAY_S = 2.0
# Time for which announcements repeat that an endpoint is leaving, since single ones may
# be lost.
SPREAD_S = 5.0
# Time for which endpoints that are gone are remembered. The copies that the store is
# restored from are some seconds old.
DEPARTED_KEPT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """An endpoint's membership in a lock-step group.

    Attributes:
        group: Name of the group.
        epoch: Number that increases each time the group is formed again.
        rank: Rank in the group, from 0.
        size: Number of ranks in the group.
        is_open: Whether the group is running.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The registration of an endpoint.

    Attributes:
        instance: Name of the instance.
        service: Service of the endpoint.
        host: IP address.
        port: TCP port.
        data_centre: Data centre of the endpoint.
        slots: Maximum number of concurrent requests.
        leaving: Whether it rejects new requests.
        cold_s: Remaining time for which it is slow after its start, in seconds.
        born_ms: Unix time of its start, in milliseconds; 0 if not known.
        member: Membership in a group, if any.
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


def find_fault(endpoint: Endpoint) -> str:
    """Returns what makes a registration unusable; empty if it is usable."""
    member = endpoint.member
    checks = {
        "instance": _is_name(endpoint.instance),
        "service": _is_name(endpoint.service),
        "host": _is_unicast_address(endpoint.host),
        "port": 0 < endpoint.port < 1 << 16,
        "slots": 0 < endpoint.slots <= MAX_SLOTS,
        "data_centre": len(endpoint.data_centre) <= MAX_NAME_LENGTH,
        "cold_s": 0.0 <= endpoint.cold_s <= MAX_COLD_S,
        "born_ms": 0 <= endpoint.born_ms <= MAX_BORN_MS,
        "member": member is None or _is_valid_member(member),
    }
    for name, is_valid in checks.items():
        if not is_valid:
            value = str(getattr(endpoint, name))[:MAX_NAME_LENGTH]
            return f"{value} {name}"
    return ""


def _is_valid_member(member: GroupMember) -> bool:
    return (
        _is_name(member.group)
        and 0 <= member.epoch <= MAX_EPOCH
        and 0 <= member.rank < member.size <= MAX_GROUP_SIZE
    )


def _is_name(text: str) -> bool:
    """Returns whether a text can stand in a header of a request."""
    is_plain = text.isprintable() and not any(character.isspace() for character in text)
    return is_plain and 0 < len(text) <= MAX_NAME_LENGTH


def _is_unicast_address(host: str) -> bool:
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    is_scoped = "%" in host
    return not (is_scoped or address.is_multicast or address.is_unspecified)


@dataclasses.dataclass(frozen=True, slots=True)
class Registered:
    """An instance was registered or its registration changed."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """An instance's registration was removed or is invalid.

    Attributes:
        instance: Name of the instance.
        reason: Why the registration is invalid; empty if it was removed.
    """

    instance: str
    reason: str = ""


Change = Registered | Removed


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A process that said that it is leaving.

    Attributes:
        instance: Name of the instance.
        born_ms: Unix time of its start, in milliseconds.
    """

    instance: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Departed:
    """An endpoint that is gone, and when it went, in seconds."""

    endpoint: Endpoint
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """Effect of a change on one endpoint; `meaning` is a single word."""

    instance: str
    service: str
    meaning: str


class EndpointTable:
    """Endpoints known to one entry.

    A registration that disappears while the store is unreachable, or shortly after it
    is reachable again, may have lapsed although the endpoint is alive. The endpoint is
    kept until `LAPSE_GRACE_S` after the store's return. If several registrations have
    the same address, only the one with the latest start is used; the others are left
    over from processes that ended. A process that is leaving stays so.
    """

    def __init__(
        self,
        heartbeat_s: float = 1.2,
        known_evacuations: evacuations.Evacuations | None = None,
    ) -> None:
        """Initializes an empty table.

        Args:
            heartbeat_s: Period at which endpoints renew their registrations.
            known_evacuations: Evacuated data centres, whose endpoints accept no new
                requests; None if there are none.
        """
        self._evacuations = known_evacuations or evacuations.Evacuations()
        self._confirmation_s = HEARTBEATS_UNTIL_REMOVED * heartbeat_s + REMOVAL_DELAY_S
        self._endpoints: dict[str, Endpoint] = {}
        self._addresses: dict[tuple[str, int], set[str]] = {}
        self._outdated: set[str] = set()
        self._missing: dict[str, float] = {}
        self._store_unreachable = False
        # Whether a call to the store has failed since the endpoints were last read.
        self._failed_since_read = False
        self._store_reachable_since = -math.inf
        self._store_restored_at = -math.inf
        self._departed: dict[str, _Departed] = {}
        self._unconfirmed: dict[str, Endpoint] = {}
        self._stated_leaving: dict[Leaving, float] = {}

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._store_unreachable

    def get(self, instance: str) -> Endpoint | None:
        """Returns an endpoint that is registered or whose registration just lapsed."""
        return self._endpoints.get(instance)

    def find_by_address(self, address: str) -> Endpoint | None:
        """Returns the endpoint at an address of the form host:port."""
        for endpoint in self._endpoints.values():
            if f"{endpoint.host}:{endpoint.port}" == address:
                return endpoint
        return None

    def list_usable(self, service: str, now: float) -> list[Endpoint]:
        """Returns the endpoints of a service that accept new requests at `now`."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
            and not endpoint.leaving
            and endpoint.instance not in self._outdated
            and not self._has_lapsed(endpoint.instance, now)
            and not self._evacuations.is_evacuated(endpoint.data_centre)
        ]

    def is_evacuated(self, service: str) -> bool:
        """Returns whether a service has endpoints, all in evacuated data centres."""
        data_centres = {
            endpoint.data_centre
            for endpoint in self._endpoints.values()
            if endpoint.service == service
        }
        return bool(data_centres) and all(
            self._evacuations.is_evacuated(name) for name in data_centres
        )

    def list_evacuated(self) -> list[Endpoint]:
        """Returns the endpoints in evacuated data centres."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if self._evacuations.is_evacuated(endpoint.data_centre)
        ]

    def list_all(self) -> list[Endpoint]:
        """Returns all endpoints."""
        return list(self._endpoints.values())

    def list_current(self) -> list[Endpoint]:
        """Returns all endpoints except left-over registrations of ended processes."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.instance not in self._outdated
        ]

    def has_current_registrations(self, now: float) -> bool:
        """Returns whether registrations that arrive now were written lately.

        After a store outage or a restore, the first ones may be older.
        """
        is_settled = now >= self._store_reachable_since + LAPSE_GRACE_S
        return is_settled and not self._failed_since_read

    def record_store_call(self, reachable: bool, now: float) -> None:
        """Records that the endpoints were read, or that a call to the store failed.

        Args:
            reachable: Whether the endpoints were read.
            now: When the read was made, or the call failed, monotonic seconds.
        """
        if reachable and self._failed_since_read:
            self._store_reachable_since = now
        self._store_unreachable = self._failed_since_read = not reachable

    def record_other_answer(self) -> None:
        """Records that the store answered a call that doesn't read the endpoints."""
        self._store_unreachable = False

    def record_lost_read(self) -> None:
        """Records that a read of the endpoints failed before the store's last answer.

        The store is reachable, but registrations may have lapsed.
        """
        self._failed_since_read = True

    def record_restore(self, now: float) -> None:
        """Records that the store was restored from a copy."""
        self._store_reachable_since = now
        self._store_restored_at = now

    def apply(self, change: Change, now: float) -> Transition | None:
        """Applies one change and returns its effect, if any."""
        match change:
            case Registered(endpoint):
                self._unconfirmed.pop(endpoint.instance, None)
                return self._register(endpoint)
            case Removed(instance):
                self._unconfirmed.pop(instance, None)
                return self._remove(instance, now)

    def remove_displaced(self, instance: str, now: float) -> Transition | None:
        """Removes an endpoint if another instance answered at its address."""
        if instance not in self._endpoints:
            return None
        return self._delete(instance, "displaced", now)

    def record_leaving(self, leaving: Leaving) -> Transition | None:
        """Records that a process is leaving, as it said itself; returns the effect."""
        endpoint = self._endpoints.get(leaving.instance)
        if endpoint is None or endpoint.leaving or endpoint.born_ms != leaving.born_ms:
            return None
        self._endpoints[leaving.instance] = dataclasses.replace(endpoint, leaving=True)
        return Transition(leaving.instance, endpoint.service, "leaving")

    def record_stated_leaving(self, leaving: Leaving, now: float) -> Transition | None:
        """Records that a process told this entry that it is leaving."""
        transition = self.record_leaving(leaving)
        if transition is not None:
            self._stated_leaving[leaving] = now
        return transition

    def announce_leaving(self, instance: str, now: float) -> None:
        """Adds a process that registered that it is leaving to those to announce."""
        endpoint = self._endpoints.get(instance)
        if endpoint is not None and endpoint.leaving:
            leaving = Leaving(endpoint.instance, endpoint.born_ms)
            self._stated_leaving.setdefault(leaving, now)

    def list_stated_leaving(self, now: float) -> tuple[Leaving, ...]:
        """Returns the processes that this entry found lately to be leaving."""
        self._stated_leaving = {
            leaving: at
            for leaving, at in self._stated_leaving.items()
            if now - at <= SPREAD_S
        }
        return tuple(self._stated_leaving)

    def replace_all(
        self, registered: collections.abc.Iterable[Endpoint], now: float
    ) -> list[Transition]:
        """Applies a complete list; endpoints missing from it count as removed."""
        listed = {endpoint.instance: endpoint for endpoint in registered}
        absent = [name for name in self._endpoints if name not in listed]
        self._unconfirmed = {
            instance: endpoint
            for instance, endpoint in listed.items()
            if self._contradicts(endpoint, now)
        }
        transitions = [
            self._register(endpoint)
            for endpoint in listed.values()
            if endpoint.instance not in self._unconfirmed
        ]
        transitions += [self._remove(instance, now) for instance in absent]
        transitions += [
            Transition(endpoint.instance, endpoint.service, "unconfirmed")
            for endpoint in self._unconfirmed.values()
        ]
        return [transition for transition in transitions if transition is not None]

    def expire(self, now: float) -> list[Transition]:
        """Removes endpoints that did not register again after a store outage.

        Applies registrations of the copy that the store was restored from, if the
        platform has not removed them.
        """
        due = [name for name in self._missing if self._has_lapsed(name, now)]
        transitions = [self._delete(name, "lapsed", now) for name in due]
        if now >= self._store_restored_at + self._confirmation_s:
            confirmed = [self._register(e) for e in self._unconfirmed.values()]
            transitions += [t for t in confirmed if t is not None]
            self._unconfirmed.clear()
        return transitions

    def find_next_lapse(self, now: float) -> float | None:
        """Returns when the next missing endpoint is removed; None without one."""
        times = [at for at in self._missing.values() if now < at < math.inf]
        return min(times, default=None)

    def _contradicts(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether a listed endpoint may be of a copy and is known to be over.

        Right after a restore, this is so if its process is known to be leaving or gone,
        or if a later process of the instance is known.
        """
        if now >= self._store_restored_at + self._confirmation_s:
            return False
        known = self._endpoints.get(endpoint.instance)
        if known is not None:
            return endpoint.born_ms < known.born_ms or (
                endpoint.born_ms == known.born_ms
                and known.leaving
                and not endpoint.leaving
            )
        departed = self._departed.get(endpoint.instance)
        return (
            departed is not None
            and departed.at <= self._store_restored_at
            and endpoint.born_ms <= departed.endpoint.born_ms
        )

    def _has_lapsed(self, instance: str, now: float) -> bool:
        return (
            not self._failed_since_read and self._missing.get(instance, math.inf) <= now
        )

    def _register(self, endpoint: Endpoint) -> Transition | None:
        is_new = endpoint.instance not in self._endpoints
        if is_new and len(self._endpoints) >= MAX_ENDPOINTS:
            return Transition(endpoint.instance, endpoint.service, "surplus")
        self._missing.pop(endpoint.instance, None)
        before = self._endpoints.get(endpoint.instance)
        departed = self._departed.pop(endpoint.instance, None)
        known = departed.endpoint if before is None and departed else before
        if known is not None and known.leaving and _is_same_process(known, endpoint):
            endpoint = dataclasses.replace(endpoint, leaving=True)
        if before is not None and _get_address(before) != _get_address(endpoint):
            self._remove_address(before)
        self._endpoints[endpoint.instance] = endpoint
        if before is None or before != endpoint:
            self._add_address(endpoint)
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
        keep_until = self._store_reachable_since + LAPSE_GRACE_S
        if endpoint.leaving or (not self._failed_since_read and keep_until <= now):
            return self._delete(instance, "removed", now)
        if instance not in self._missing:
            self._missing[instance] = (
                keep_until if not self._failed_since_read else math.inf
            )
            return Transition(instance, endpoint.service, "missing")
        return None

    def _delete(self, instance: str, meaning: str, now: float) -> Transition:
        self._missing.pop(instance, None)
        endpoint = self._endpoints.pop(instance)
        self._departed = {
            name: departed
            for name, departed in self._departed.items()
            if now - departed.at <= DEPARTED_KEPT_S
        }
        self._departed[instance] = _Departed(endpoint, now)
        self._remove_address(endpoint)
        if endpoint.leaving:
            meaning = "left"
        return Transition(instance, endpoint.service, meaning)

    def _add_address(self, endpoint: Endpoint) -> None:
        self._addresses.setdefault(_get_address(endpoint), set()).add(endpoint.instance)
        self._update_outdated(_get_address(endpoint))

    def _remove_address(self, endpoint: Endpoint) -> None:
        self._outdated.discard(endpoint.instance)
        address = _get_address(endpoint)
        self._addresses[address].discard(endpoint.instance)
        if self._addresses[address]:
            self._update_outdated(address)
        else:
            del self._addresses[address]

    def _update_outdated(self, address: tuple[str, int]) -> None:
        """Marks all endpoints at an address as outdated except the latest started."""
        registrations = [
            self._endpoints[instance] for instance in self._addresses[address]
        ]
        latest = max(endpoint.born_ms for endpoint in registrations)
        for endpoint in registrations:
            if endpoint.born_ms < latest:
                self._outdated.add(endpoint.instance)
            else:
                self._outdated.discard(endpoint.instance)


def _is_same_process(one: Endpoint, other: Endpoint) -> bool:
    """Returns whether two registrations of an instance have the same known start."""
    return one.born_ms == other.born_ms != 0


def _get_address(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.host, endpoint.port
