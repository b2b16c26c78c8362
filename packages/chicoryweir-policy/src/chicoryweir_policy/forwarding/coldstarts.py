"""Limits the requests to endpoints that are cold: slow because they have just started.

All entries together may send a cold endpoint a limited number of requests in any
second (`windowlimits`). What is known of an endpoint comes from its registration, its
answers and the events after which endpoints are cold.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.forwarding import coldness
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import participants
from chicoryweir_policy.forwarding import windowlimits

# Time without news of an endpoint after which it is forgotten.
KEPT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """An endpoint that turned cold or warm.

    Attributes:
        instance: Name of the instance.
        is_cold: Whether it is cold now.
        reason: What showed that it is or was cold.
        age_s: Age of that information, in seconds.
        left_s: Time until it is expected to be warm, in seconds; 0 if it is warm.
        max_requests: Number of requests that this entry may send in
            `windowlimits.WINDOW_S`; None for any number.
    """

    instance: str
    is_cold: bool
    reason: coldness.Reason
    age_s: float
    left_s: float
    max_requests: int | None


_UNKNOWN = coldness.Known()


class ColdEndpoints:
    """Knows which endpoints are cold and how many requests this entry may send them.

    Only endpoints of services with a limit (`Service.cold_rate`) count as cold.

    Attributes:
        held_back: Number of requests that had to wait or were rejected while a cold
            endpoint had a free slot.
    """

    def __init__(self, host: str) -> None:
        """Initializes what an entry knows.

        Args:
            host: Host of the entry.
        """
        self.held_back = 0
        self._limits = windowlimits.WindowLimits(host)
        self._over = 1.0
        self._slack = 0.0
        self._services: dict[str, configuration.Service] = {}
        self._known: dict[str, coldness.Known] = {}
        self._evacuations: dict[str, coldness.Evidence] = {}
        self._reported: dict[str, coldness.Evidence] = {}

    @property
    def participants(self) -> participants.Participants:
        """The entries that share the limits."""
        return self._limits.participants

    def set_bounds(self, over: float, slack: float) -> None:
        """Sets how far the rate of a service may be exceeded in a second.

        Args:
            over: Factor of the rate.
            slack: Number of requests added to it.
        """
        self._over = over
        self._slack = slack

    def set_services(
        self, services: collections.abc.Iterable[configuration.Service]
    ) -> None:
        """Sets the services of the configuration in force."""
        self._services = {s.name: s for s in services if s.cold_rate > 0.0}

    def record_registration(
        self, endpoint: endpoints.Endpoint, now: float, is_current: bool = True
    ) -> None:
        """Records a registration as it arrives from the store.

        Args:
            endpoint: The registration.
            now: Present time, monotonic seconds.
            is_current: Whether it was written in the last `REGISTRATION_AGE_S`, which
                isn't certain after a store outage.
        """
        known = self._known.setdefault(endpoint.instance, coldness.Known())
        end = known.registered.at + (known.registered.stated_s or 0.0)
        if is_current:
            known.confirmed_at = now
        if is_current or now + endpoint.cold_s > end:
            known.registered = coldness.Evidence(
                coldness.Reason.REGISTERED, now, endpoint.cold_s
            )

    def record_restart(
        self,
        endpoint: endpoints.Endpoint,
        now: float,
        reason: coldness.Reason = coldness.Reason.CRASHED,
    ) -> None:
        """Records that an endpoint started, or crashed and will start again."""
        known = self._known.setdefault(endpoint.instance, coldness.Known())
        known.event = coldness.Evidence(reason, now)

    def record_statement(
        self, endpoint: endpoints.Endpoint, cold_s: float, now: float
    ) -> None:
        """Records for how long an endpoint says that it stays cold; 0 for no time."""
        if cold_s <= 0.0:
            return
        known = self._known.setdefault(endpoint.instance, coldness.Known())
        if now + cold_s > known.answer.at + (known.answer.stated_s or 0.0):
            known.answer = coldness.Evidence(coldness.Reason.STATED, now, cold_s)

    def record_evacuation_end(self, data_centre: str, now: float) -> None:
        """Records that the endpoints of a data centre may be used again."""
        self._evacuations[data_centre] = coldness.Evidence(
            coldness.Reason.EVACUATION_ENDED, now
        )

    def is_cold(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Returns whether an endpoint of a service with a limit is or may be cold."""
        service = self._services.get(endpoint.service)
        if service is None:
            return False
        return now < self._find_evidence(endpoint, service).compute_end(service)

    def count_available(
        self, endpoint: endpoints.Endpoint, service: configuration.Service, now: float
    ) -> int | None:
        """Returns how many requests may be sent now; None for any number."""
        if service.cold_rate <= 0.0:
            return None
        if now >= self._find_evidence(endpoint, service).compute_end(service):
            return None
        limit = self._compute_limit(service)
        return self._limits.count_available(endpoint.instance, limit, now)

    def predict_wait_s(
        self,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        service: configuration.Service,
        queued: int,
        now: float,
    ) -> float | None:
        """Predicts how long this entry may not send another request, in seconds.

        Infinity stands for candidates that only other entries send to.

        Args:
            candidates: Endpoints that the request may be sent to.
            service: Their service.
            queued: Number of requests that will be sent before it.
            now: Present time, monotonic seconds.

        Returns:
            The time; None if a candidate accepts any number of requests.
        """
        ends = [
            self._find_evidence(endpoint, service).compute_end(service)
            for endpoint in candidates
        ]
        warm_s = min(ends, default=now) - now
        if service.cold_rate <= 0.0 or warm_s <= 0.0:
            return None
        instances = [endpoint.instance for endpoint in candidates]
        limit = self._compute_limit(service)
        wait_s = self._limits.predict_wait_s(instances, limit, queued, now)
        if math.isinf(wait_s) and self.participants.list_sharing(now):
            return wait_s
        return max(0.0, min(wait_s, warm_s))

    def record_sent(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Records that a request is about to be sent, also to a warm endpoint."""
        if endpoint.service in self._services:
            self._limits.record_sent(endpoint.instance, now)

    def record_held_back(self) -> None:
        """Counts a request that can't be sent since a cold endpoint's limit is used."""
        self.held_back += 1

    def count_cold(
        self, listed: collections.abc.Iterable[endpoints.Endpoint], now: float
    ) -> int:
        """Returns how many of these endpoints are cold."""
        return sum(self.is_cold(endpoint, now) for endpoint in listed)

    def take_transitions(
        self, listed: collections.abc.Iterable[endpoints.Endpoint], now: float
    ) -> list[Transition]:
        """Returns the endpoints that turned cold or warm since the last call.

        It is called at least every `participants.GAP_S`.

        Args:
            listed: All endpoints.
            now: Present time, monotonic seconds.
        """
        self._expire(now)
        self.participants.list_sharing(now)
        if not self._services:
            return []
        transitions = []
        reported: dict[str, coldness.Evidence] = {}
        for endpoint in listed:
            service = self._services.get(endpoint.service)
            if service is None:
                continue
            before = self._reported.get(endpoint.instance)
            evidence = self._find_evidence(endpoint, service)
            is_cold = now < evidence.compute_end(service)
            if is_cold:
                reported[endpoint.instance] = evidence
            if is_cold == (before is not None):
                continue
            if before is not None:
                evidence = before
            transitions.append(self._describe(endpoint, service, evidence, now))
        self._reported = reported
        return transitions

    def _describe(
        self,
        endpoint: endpoints.Endpoint,
        service: configuration.Service,
        evidence: coldness.Evidence,
        now: float,
    ) -> Transition:
        is_cold = self.is_cold(endpoint, now)
        max_requests = None
        if is_cold:
            limit = self._compute_limit(service)
            max_requests = self._limits.compute_part(endpoint.instance, limit, now)
        return Transition(
            endpoint.instance,
            is_cold,
            evidence.reason,
            now - evidence.at,
            evidence.compute_end(service) - now if is_cold else 0.0,
            max_requests,
        )

    def _find_evidence(
        self, endpoint: endpoints.Endpoint, service: configuration.Service
    ) -> coldness.Evidence:
        known = self._known.get(endpoint.instance, _UNKNOWN)
        evacuation = self._evacuations.get(endpoint.data_centre, coldness.NO_EVIDENCE)
        return known.find_evidence(service, evacuation)

    def _compute_limit(self, service: configuration.Service) -> float:
        """Returns the number of requests in any second from all entries together."""
        return service.cold_rate * self._over + self._slack

    def _expire(self, now: float) -> None:
        """Forgets endpoints without news."""
        gone = [n for n, k in self._known.items() if now - k.latest_at > KEPT_S]
        for instance in gone:
            del self._known[instance]
            self._limits.forget(instance)
