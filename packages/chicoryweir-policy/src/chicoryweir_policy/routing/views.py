"""State and load of endpoints, as known to one entry."""

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
    """State and load of an endpoint, as known to one entry.

    Attributes:
        instance: Instance of the endpoint.
        data_centre: Data centre of the endpoint.
        service: Service that it belongs to.
        models: Loaded models; empty if none are loaded or reported yet.
        latency_s: One-way latency from the entry, in seconds.
        connected: Whether the link to its agent is up.
        connected_at: Time at which the link last came up or went down.
        leaving: Whether it is draining and rejects new attempts.
        serving: Whether the endpoint responds to its agent.
        incarnation: Identifier of the endpoint's process.
        slots: Number of attempts that it can run concurrently; 0 if unknown.
        reported_attempts: Running and queued attempts in the last report, minus those
            of this entry that have ended since.
        tokens_per_s: Estimated capacity, in tokens per second.
        token_time_s: Time per token of each running attempt at the last report, in
            seconds; None if nothing ran.
        reported_at: Arrival time of the last report; None before the first.
        reported_tokens: Unfinished tokens of all entries in the last report.
        reported_wait_s: Predicted wait of each priority class in the last report.
        own_tokens: Unfinished tokens of this entry's unreported attempts, those that no
            report includes yet; by priority class.
        own_attempts: Number of this entry's unreported attempts.
        finished_tokens: Tokens of this entry's attempts that have ended since the last
            report, which still includes them.
        ejected_until: End of its last ejection as an outlier; minus infinity if it was
            never ejected.
        evacuated: Whether its data centre is evacuated.
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
    evacuated: bool

    def is_available(self, model: str, now: float) -> bool:
        """Returns whether attempts may be sent to it; an empty model means any."""
        return not self.evacuated and self.is_working(model, now)

    def is_working(self, model: str, now: float) -> bool:
        """Returns whether it could run attempts, evacuated or not."""
        if not self.connected or self.leaving or not self.serving:
            return False
        if now < self.ejected_until:
            return False
        if self.reported_at is None:
            return now - self.connected_at <= MAX_REPORT_AGE_S
        if now - self.reported_at > MAX_REPORT_AGE_S:
            return False
        return not model or model in self.models

    def may_have_model(self, model: str) -> bool:
        """Returns whether the model is loaded, or no models were reported yet."""
        return not model or not self.models or model in self.models

    def estimate_unfinished_tokens(self, now: float) -> float:
        """Estimates the unfinished tokens at `now`, counting each token only once."""
        age_s = 0.0 if self.reported_at is None else max(0.0, now - self.reported_at)
        done_tokens = max(self.finished_tokens, self.tokens_per_s * age_s)
        return max(0.0, self.reported_tokens - done_tokens) + sum(self.own_tokens)

    def predict_wait(
        self, priority: requests.PriorityClass, mean_wait_s: float, now: float
    ) -> float:
        """Predicts how long a new request would wait before it runs.

        Args:
            priority: Class of the request.
            mean_wait_s: Mean wait of this class over the service. The reported wait
                decays towards it as the report ages.
            now: Monotonic time in seconds.

        Returns:
            The wait in seconds, plus a small cost that grows with the occupied slots.
        """
        weight = self._compute_report_weight(now)
        reported_s = self.reported_wait_s[priority]
        wait_s = mean_wait_s + (reported_s - mean_wait_s) * weight
        wait_s += self._compute_ramp_up_cost(now)
        attempts = self.reported_attempts + self.own_attempts
        if attempts < self.slots:
            return wait_s + OCCUPANCY_COST_S * attempts / self.slots
        ahead_tokens = sum(self.own_tokens[: priority + 1])
        return wait_s + OCCUPANCY_COST_S + ahead_tokens / self.tokens_per_s

    def predict_token_time(self, mean_token_time_s: float, now: float) -> float:
        """Predicts the time per token of a running request, in seconds.

        Args:
            mean_token_time_s: Mean over the service. The reported value decays towards
                it as the report ages.
            now: Monotonic time in seconds.
        """
        if self.token_time_s is None:
            return mean_token_time_s
        return mean_token_time_s + (
            self.token_time_s - mean_token_time_s
        ) * self._compute_report_weight(now)

    def _compute_report_weight(self, now: float) -> float:
        if self.reported_at is None:
            return 0.0
        return math.exp(-max(0.0, now - self.reported_at) / REPORT_DECAY_S)

    def _compute_ramp_up_cost(self, now: float) -> float:
        """Computes a decreasing extra wait, so that load ramps up after an ejection."""
        elapsed_s = now - self.ejected_until
        if elapsed_s >= RAMP_UP_S:
            return 0.0
        return RAMP_UP_COST_S * (1.0 - elapsed_s / RAMP_UP_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An endpoint of a service, whether or not it is available.

    Attributes:
        instance: Instance of the endpoint.
        data_centre: Data centre of the endpoint.
        latency_s: One-way latency from the entry, in seconds.
        name_hash: Hash of the instance's name.
    """

    instance: str
    data_centre: str
    latency_s: float
    name_hash: int


class Fleet(typing.Protocol):
    """The endpoints known to an entry, with their state and load."""

    def list_members(self, service: str, model: str = "") -> tuple[Member, ...]:
        """Returns the endpoints of a service that may have a model, by instance.

        Endpoints of evacuated data centres are not members.
        """

    def list_evacuated(self, service: str) -> tuple[EndpointView, ...]:
        """Returns the endpoints of a service in evacuated data centres."""

    def get_view(self, instance: str) -> EndpointView | None:
        """Returns the view of an endpoint, or None if it is unknown."""

    def compute_mean_wait(
        self, service: str, priority: requests.PriorityClass
    ) -> float:
        """Returns the mean reported wait over a service's endpoints, in seconds."""

    def compute_mean_token_time(self, service: str) -> float:
        """Returns the mean time per token over a service's endpoints, in seconds."""


def make_view(
    instance: str,
    data_centre: str,
    service: str,
    latency_s: float,
    evacuated: bool = False,
) -> EndpointView:
    """Creates the view of an endpoint that has not connected yet."""
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
        evacuated=evacuated,
    )
