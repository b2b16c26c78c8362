"""Load of the endpoints as one entry knows it."""

from __future__ import annotations

import dataclasses
import math
import typing

from chicoryweir_policy import requests

MAX_REPORT_AGE_S = 3.0
MAX_CACHED_MODELS = 64
REPORT_DECAY_S = 2.0
DEFAULT_TOKENS_PER_S = 1000.0
OCCUPANCY_COST_S = 0.05
RAMP_UP_S = 10.0
RAMP_UP_COST_S = 0.25
ZERO_PER_CLASS = (0.0,) * len(requests.PriorityClass)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """What an entry knows of one endpoint.

    Attributes:
        instance: Instance of the endpoint.
        data_centre: Its data_centre.
        service: Service it runs.
        models: Models that it holds; empty for none, or when not yet reported.
        latency_s: One-way latency from the entry, in seconds.
        connected: Whether a link to its agent is up.
        connected_at: Time at which the link came up.
        leaving: Whether it takes no new work.
        serving: Whether the endpoint answers its agent.
        incarnation: Process of the endpoint.
        slots: Attempts that it runs at once; 0 when not known.
        reported_attempts: Attempts that it had, running or waiting, at the last report.
        tokens_per_s: Tokens a second that it can generate.
        token_time_s: Seconds a token for each running attempt at the last report; None when
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
    data_centre: str
    service: str
    models: tuple[str, ...]
    latency_s: float
    connected: bool
    connected_at: float
    leaving: bool
    serving: bool
    incarnation: str
    slots: int
    reported_attempts: int
    tokens_per_s: float
    token_time_s: float | None
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
            return now - self.connected_at <= MAX_REPORT_AGE_S
        if now - self.reported_at > MAX_REPORT_AGE_S:
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
        reported_attempts = self.reported_attempts + self.own_attempts
        if reported_attempts < self.slots:
            return wait_s + OCCUPANCY_COST_S * reported_attempts / self.slots
        ahead = sum(self.own_tokens[: priority + 1])
        return wait_s + OCCUPANCY_COST_S + ahead / self.tokens_per_s

    def predict_token_time(self, mean_token_time_s: float, now: float) -> float:
        """Predicts the seconds that a running request needs for a token.

        Args:
            mean_token_time_s: Mean over the service, towards which a report loses its
                weight as it ages.
            now: Monotonic time in seconds.
        """
        if self.token_time_s is None:
            return mean_token_time_s
        return mean_token_time_s + (
            self.token_time_s - mean_token_time_s
        ) * self._weigh_report(now)

    def _weigh_report(self, now: float) -> float:
        if self.reported_at is None:
            return 0.0
        return math.exp(-max(0.0, now - self.reported_at) / REPORT_DECAY_S)

    def _compute_return_cost(self, now: float) -> float:
        """Makes an endpoint that was taken out attract work again by and by."""
        passed_s = now - self.ejected_until
        if passed_s >= RAMP_UP_S:
            return 0.0
        return RAMP_UP_COST_S * (1.0 - passed_s / RAMP_UP_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An endpoint of a service, whether or not it can take work.

    Attributes:
        instance: Its instance.
        data_centre: Its data_centre.
        latency_s: One-way latency from the entry, in seconds.
        name_hash: Hash of the instance's name.
    """

    instance: str
    data_centre: str
    latency_s: float
    name_hash: int


class Fleet(typing.Protocol):
    """The endpoints among which a request is routed."""

    def list_members(self, service: str, model: str = "") -> tuple[Member, ...]:
        """Returns the endpoints of a service that may hold a model, sorted."""

    def get_view(self, instance: str) -> EndpointView | None:
        """Returns what is known of an endpoint, or None."""

    def compute_mean_wait(
        self, service: str, priority: requests.PriorityClass
    ) -> float:
        """Returns the mean reported wait over a service's endpoints, in seconds."""

    def compute_mean_token_time(self, service: str) -> float:
        """Returns the mean seconds a token over a service's endpoints."""


def make_view(
    instance: str, data_centre: str, service: str, latency_s: float
) -> EndpointView:
    """Makes the view of an endpoint that was not heard of yet."""
    return EndpointView(
        instance=instance,
        data_centre=data_centre,
        service=service,
        models=(),
        latency_s=latency_s,
        connected=False,
        connected_at=0.0,
        leaving=False,
        serving=True,
        incarnation="",
        slots=0,
        reported_attempts=0,
        tokens_per_s=DEFAULT_TOKENS_PER_S,
        token_time_s=None,
        reported_at=None,
        reported_tokens=0.0,
        reported_wait_s=ZERO_PER_CLASS,
        own_tokens=ZERO_PER_CLASS,
        own_attempts=0,
        finished_tokens=0.0,
        ejected_until=-math.inf,
    )
