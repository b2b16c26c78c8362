"""Load of the endpoints as one entry knows it."""

from __future__ import annotations

import dataclasses
import math
import typing

from chicoryweir_policy import requests

STALE_AFTER_S = 3.0
MAX_CACHED_MODELS = 64
RELAX_S = 2.0
UNKNOWN_TOKENS_PER_S = 1000.0
OCCUPANCY_COST_S = 0.05
RETURN_S = 10.0
RETURN_COST_S = 0.25
NO_WAITS = (0.0,) * len(requests.PriorityClass)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """What an entry knows of one endpoint.

    Attributes:
        instance: Instance of the endpoint.
        place: Its place.
        service: Service it runs.
        models: Models that it holds; empty for none, or when not yet reported.
        latency_s: One-way latency from the entry, in seconds.
        connected: Whether a link to its agent is up.
        connected_at: Time at which the link came up.
        leaving: Whether it takes no new work.
        serving: Whether the endpoint answers its agent.
        incarnation: Process of the endpoint.
        slots: Attempts that it runs at once; 0 when not known.
        occupied: Attempts that it had, running or waiting, at the last report.
        tokens_per_s: Tokens a second that it can generate.
        pace_s: Seconds a token for each running attempt at the last report; None when
            nothing ran.
        reported_at: Arrival of the last report; None before the first.
        reported_tokens: Unfinished tokens of all entries in the last report.
        reported_wait_s: Wait of each priority class in the last report.
        own_tokens: Unfinished tokens of this entry that no report covers yet, of
            each priority class.
        own_attempts: Number of those attempts.
        finished_tokens: Tokens of this entry that the last report still counts and
            that have finished since.
        ejected_until: Time until which it is taken out as an outlier; minus infinity
            for never.
    """

    instance: str
    place: str
    service: str
    models: tuple[str, ...]
    latency_s: float
    connected: bool
    connected_at: float
    leaving: bool
    serving: bool
    incarnation: str
    slots: int
    occupied: int
    tokens_per_s: float
    pace_s: float | None
    reported_at: float | None
    reported_tokens: float
    reported_wait_s: tuple[float, ...]
    own_tokens: tuple[float, ...]
    own_attempts: int
    finished_tokens: float
    ejected_until: float

    def is_available(self, model: str, now: float) -> bool:
        """Tells whether new work for a model may be sent to it at `now`."""
        if not self.connected or self.leaving or not self.serving:
            return False
        if now < self.ejected_until:
            return False
        if self.reported_at is None:
            return now - self.connected_at <= STALE_AFTER_S
        if now - self.reported_at > STALE_AFTER_S:
            return False
        return not model or model in self.models

    def may_hold(self, model: str) -> bool:
        """Tells whether it holds a model, or has not reported what it holds."""
        return not model or not self.models or model in self.models

    def estimate_tokens(self, now: float) -> float:
        """Estimates the unfinished tokens at `now`, each counted once."""
        age_s = 0.0 if self.reported_at is None else max(0.0, now - self.reported_at)
        done = max(self.finished_tokens, self.tokens_per_s * age_s)
        return max(0.0, self.reported_tokens - done) + sum(self.own_tokens)

    def predict_wait(
        self, priority: requests.PriorityClass, mean_wait_s: float, now: float
    ) -> float:
        """Predicts how long a new request would wait before it runs.

        Args:
            priority: Class of the request.
            mean_wait_s: Mean wait of this class over the service, towards which a
                report loses its weight as it ages.
            now: Monotonic time in seconds.

        Returns:
            The wait in seconds, with a small cost for a fuller batch.
        """
        weight = self._weigh_report(now)
        reported_s = self.reported_wait_s[priority]
        wait_s = mean_wait_s + (reported_s - mean_wait_s) * weight
        wait_s += self._compute_return_cost(now)
        occupied = self.occupied + self.own_attempts
        if occupied < self.slots:
            return wait_s + OCCUPANCY_COST_S * occupied / self.slots
        ahead = sum(self.own_tokens[: priority + 1])
        return wait_s + OCCUPANCY_COST_S + ahead / self.tokens_per_s

    def predict_pace(self, mean_pace_s: float, now: float) -> float:
        """Predicts the seconds that a running request needs for a token.

        Args:
            mean_pace_s: Mean over the service, towards which a report loses its
                weight as it ages.
            now: Monotonic time in seconds.
        """
        if self.pace_s is None:
            return mean_pace_s
        return mean_pace_s + (self.pace_s - mean_pace_s) * self._weigh_report(now)

    def _weigh_report(self, now: float) -> float:
        if self.reported_at is None:
            return 0.0
        return math.exp(-max(0.0, now - self.reported_at) / RELAX_S)

    def _compute_return_cost(self, now: float) -> float:
        """Makes an endpoint that was taken out attract work again by and by."""
        passed_s = now - self.ejected_until
        if passed_s >= RETURN_S:
            return 0.0
        return RETURN_COST_S * (1.0 - passed_s / RETURN_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An endpoint of a service, whether or not it can take work.

    Attributes:
        instance: Its instance.
        place: Its place.
        latency_s: One-way latency from the entry, in seconds.
        name_hash: Hash of the instance's name.
    """

    instance: str
    place: str
    latency_s: float
    name_hash: int


class Fleet(typing.Protocol):
    """The endpoints among which a request is routed."""

    def list_members(self, service: str, model: str = "") -> tuple[Member, ...]:
        """Returns the endpoints of a service that may hold a model, sorted."""

    def view(self, instance: str) -> EndpointView | None:
        """Returns what is known of an endpoint, or None."""

    def compute_mean_wait(
        self, service: str, priority: requests.PriorityClass
    ) -> float:
        """Returns the mean reported wait over a service's endpoints, in seconds."""

    def compute_mean_pace(self, service: str) -> float:
        """Returns the mean seconds a token over a service's endpoints."""


def make_view(
    instance: str, place: str, service: str, latency_s: float
) -> EndpointView:
    """Makes the view of an endpoint that was not heard of yet."""
    return EndpointView(
        instance=instance,
        place=place,
        service=service,
        models=(),
        latency_s=latency_s,
        connected=False,
        connected_at=0.0,
        leaving=False,
        serving=True,
        incarnation="",
        slots=0,
        occupied=0,
        tokens_per_s=UNKNOWN_TOKENS_PER_S,
        pace_s=None,
        reported_at=None,
        reported_tokens=0.0,
        reported_wait_s=NO_WAITS,
        own_tokens=NO_WAITS,
        own_attempts=0,
        finished_tokens=0.0,
        ejected_until=-math.inf,
    )
