"""Tracks the load of endpoints from their reports and this entry's own attempts."""

from __future__ import annotations

import collections.abc
import dataclasses
import operator
import typing

import xxhash

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.routing import views

OTHER_DATA_CENTRE_LATENCY_S = 0.0015
RATE_DECAY_PER_REPORT = 0.98
MAX_TOKEN_TIME_S = 10.0

IsEvacuated = collections.abc.Callable[[str], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    sequence: int
    tokens: float
    priority: requests.PriorityClass


@dataclasses.dataclass(slots=True)
class _Endpoint:
    view: views.EndpointView
    unreported: dict[str, _Attempt] = dataclasses.field(default_factory=dict)
    reported: dict[str, _Attempt] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _ServiceTotals:
    endpoint_count: int = 0
    token_time_count: int = 0
    token_time_s: float = 0.0
    waits_s: list[float] = dataclasses.field(
        default_factory=lambda: list(views.ZERO_PER_CLASS)
    )

    def add(self, view: views.EndpointView, sign: int) -> None:
        if view.reported_at is None or not view.connected or view.evacuated:
            return
        self.endpoint_count += sign
        for priority, wait_s in enumerate(view.reported_wait_s):
            self.waits_s[priority] += sign * wait_s
        if view.token_time_s is not None:
            self.token_time_count += sign
            self.token_time_s += sign * view.token_time_s


class LoadTracker:
    """Tracks the load and state of all endpoints that an entry knows.

    Updates take constant time; only a change of a service's members takes time that
    grows with the number of endpoints.
    """

    def __init__(
        self,
        data_centre: str,
        latency_by_data_centre_s: collections.abc.Mapping[str, float],
    ) -> None:
        """Creates a tracker without endpoints.

        Args:
            data_centre: Data centre of this entry.
            latency_by_data_centre_s: One-way latency to other data centres, in
                seconds; `OTHER_DATA_CENTRE_LATENCY_S` for those not listed.
        """
        self._data_centre = data_centre
        self._latency_by_data_centre_s = dict(latency_by_data_centre_s)
        self._endpoints: dict[str, _Endpoint] = {}
        self._members: dict[str, dict[str, tuple[views.Member, ...]]] = {}
        self._totals: dict[str, _ServiceTotals] = {}
        self._is_evacuated: IsEvacuated = lambda _: False

    def set_evacuations(self, is_evacuated: IsEvacuated) -> None:
        """Sets which data centres are evacuated, for known and later endpoints.

        Takes time that grows with the number of endpoints.
        """
        self._is_evacuated = is_evacuated
        for endpoint in self._endpoints.values():
            evacuated = is_evacuated(endpoint.view.data_centre)
            if evacuated != endpoint.view.evacuated:
                self._replace(endpoint, evacuated=evacuated)
                self._members.pop(endpoint.view.service, None)

    def add_endpoint(self, instance: str, data_centre: str, service: str) -> None:
        """Adds an endpoint of a service, or replaces it if its data changed."""
        if instance in self._endpoints:
            known = self._endpoints[instance].view
            if (known.data_centre, known.service) == (data_centre, service):
                return
            self.remove_endpoint(instance)
        self._endpoints[instance] = _Endpoint(
            views.make_view(
                instance,
                data_centre,
                service,
                self._find_latency(data_centre),
                self._is_evacuated(data_centre),
            )
        )
        self._members.pop(service, None)

    def remove_endpoint(self, instance: str) -> None:
        """Removes an endpoint that is no longer a member of its service."""
        endpoint = self._endpoints.pop(instance, None)
        if endpoint is not None:
            self._get_totals(endpoint.view.service).add(endpoint.view, -1)
            self._members.pop(endpoint.view.service, None)

    def record_link_state(self, instance: str, connected: bool, now: float) -> None:
        """Records that the link to an endpoint's agent came up or went down.

        Attempts sent on an earlier link are no longer counted as this entry's own:
        reports on the new link include those that are unfinished.
        """
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return
        endpoint.unreported.clear()
        endpoint.reported.clear()
        self._replace(
            endpoint,
            connected=connected,
            connected_at=now,
            reported_at=None,
            serving=True,
            leaving=endpoint.view.leaving and not connected,
            own_tokens=views.ZERO_PER_CLASS,
            own_attempts=0,
            finished_tokens=0.0,
        )

    def record_leaving(self, instance: str) -> None:
        """Records that an endpoint accepts no new attempts."""
        endpoint = self._endpoints.get(instance)
        if endpoint is not None:
            self._replace(endpoint, leaving=True)

    def record_ejection(self, instance: str, until: float) -> None:
        """Records that an endpoint is ejected as an outlier until a time."""
        endpoint = self._endpoints.get(instance)
        if endpoint is not None:
            self._replace(endpoint, ejected_until=until)

    def record_sent(
        self,
        instance: str,
        attempt_id: str,
        sequence: int,
        cost_tokens: float,
        priority: requests.PriorityClass,
    ) -> None:
        """Records an attempt that this entry submitted.

        Args:
            instance: Instance of the endpoint.
            attempt_id: The attempt.
            sequence: Sequence number of the attempt, as in `SubmitAttempt`.
            cost_tokens: Estimated cost of the attempt.
            priority: Priority class of the attempt.
        """
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return
        attempt = _Attempt(sequence, cost_tokens, priority)
        endpoint.unreported[attempt_id] = attempt
        self._update_own_load(endpoint, attempt, 1)

    def record_finished(self, instance: str, attempt_id: str) -> None:
        """Records that an attempt of this entry ended, with any outcome."""
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return
        attempt = endpoint.unreported.pop(attempt_id, None)
        if attempt is not None:
            self._update_own_load(endpoint, attempt, -1)
            return
        attempt = endpoint.reported.pop(attempt_id, None)
        if attempt is not None:
            view = endpoint.view
            self._replace(
                endpoint,
                finished_tokens=view.finished_tokens + attempt.tokens,
                reported_attempts=max(0, view.reported_attempts - 1),
            )

    def record_report(
        self, instance: str, report: messages.LoadReport, now: float
    ) -> None:
        """Records a load report, which includes the attempts that it acknowledges."""
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return
        if report.models != endpoint.view.models:
            self._members.pop(endpoint.view.service, None)
        own_tokens = self._mark_reported(endpoint, report.acknowledged)
        rate = max(
            report.tokens_per_s, endpoint.view.tokens_per_s * RATE_DECAY_PER_REPORT
        )
        is_first = endpoint.view.reported_at is None
        if is_first and report.tokens_per_s > 0:
            rate = report.tokens_per_s
        self._replace(
            endpoint,
            models=report.models,
            leaving=endpoint.view.leaving or report.leaving,
            serving=report.serving,
            incarnation=report.endpoint_incarnation,
            slots=report.slots,
            reported_attempts=report.running + report.waiting,
            tokens_per_s=rate,
            token_time_s=_compute_token_time(report),
            reported_at=now,
            reported_tokens=report.unfinished_tokens,
            reported_wait_s=report.wait_s,
            own_tokens=own_tokens,
            own_attempts=len(endpoint.unreported),
            finished_tokens=0.0,
        )

    def list_members(self, service: str, model: str = "") -> tuple[views.Member, ...]:
        """Returns the known endpoints of a service, sorted by instance.

        Endpoints of evacuated data centres are not members.

        Args:
            service: The service.
            model: Omits endpoints that are known not to have this model loaded; an
                empty string omits none.

        Returns:
            The endpoints; the same tuple object as long as nothing changes.
        """
        by_model = self._members.setdefault(service, {})
        members = by_model.get(model)
        if members is None:
            members = tuple(
                _make_member(endpoint.view)
                for _, endpoint in sorted(
                    self._endpoints.items(), key=operator.itemgetter(0)
                )
                if endpoint.view.service == service
                and not endpoint.view.evacuated
                and endpoint.view.may_have_model(model)
            )
            if len(by_model) >= views.MAX_CACHED_MODELS:
                by_model.clear()
            by_model[model] = members
        return members

    def list_evacuated(self, service: str) -> tuple[views.EndpointView, ...]:
        """Returns the endpoints of a service in evacuated data centres."""
        return tuple(
            endpoint.view
            for endpoint in self._endpoints.values()
            if endpoint.view.service == service and endpoint.view.evacuated
        )

    def get_view(self, instance: str) -> views.EndpointView | None:
        """Returns the view of an endpoint, or None if it is unknown."""
        endpoint = self._endpoints.get(instance)
        return None if endpoint is None else endpoint.view

    def compute_mean_wait(
        self, service: str, priority: requests.PriorityClass
    ) -> float:
        """Returns the mean reported wait over a service's endpoints, in seconds."""
        totals = self._get_totals(service)
        if totals.endpoint_count == 0:
            return 0.0
        return max(0.0, totals.waits_s[priority] / totals.endpoint_count)

    def compute_mean_token_time(self, service: str) -> float:
        """Returns the mean time per token over a service's endpoints, in seconds."""
        totals = self._get_totals(service)
        return (
            max(0.0, totals.token_time_s / totals.token_time_count)
            if totals.token_time_count
            else 0.0
        )

    def _find_latency(self, data_centre: str) -> float:
        if data_centre == self._data_centre:
            return 0.0
        return self._latency_by_data_centre_s.get(
            data_centre, OTHER_DATA_CENTRE_LATENCY_S
        )

    def _get_totals(self, service: str) -> _ServiceTotals:
        return self._totals.setdefault(service, _ServiceTotals())

    def _replace(self, endpoint: _Endpoint, **changes: typing.Any) -> None:
        totals = self._get_totals(endpoint.view.service)
        totals.add(endpoint.view, -1)
        endpoint.view = dataclasses.replace(endpoint.view, **changes)
        totals.add(endpoint.view, 1)

    def _update_own_load(
        self, endpoint: _Endpoint, attempt: _Attempt, sign: int
    ) -> None:
        own_tokens = list(endpoint.view.own_tokens)
        own_tokens[attempt.priority] += sign * attempt.tokens
        self._replace(
            endpoint,
            own_tokens=tuple(own_tokens)
            if endpoint.unreported
            else views.ZERO_PER_CLASS,
            own_attempts=len(endpoint.unreported),
        )

    def _mark_reported(
        self, endpoint: _Endpoint, acknowledged: int
    ) -> tuple[float, ...]:
        own_tokens = list(endpoint.view.own_tokens)
        while endpoint.unreported:
            attempt_id, attempt = next(iter(endpoint.unreported.items()))
            if attempt.sequence > acknowledged:
                return tuple(own_tokens)
            del endpoint.unreported[attempt_id]
            endpoint.reported[attempt_id] = attempt
            own_tokens[attempt.priority] -= attempt.tokens
        return views.ZERO_PER_CLASS


def _compute_token_time(report: messages.LoadReport) -> float | None:
    if report.running == 0:
        return None
    if report.tokens_per_s <= 0.0:
        return MAX_TOKEN_TIME_S
    return min(MAX_TOKEN_TIME_S, report.running / report.tokens_per_s)


def _make_member(view: views.EndpointView) -> views.Member:
    name_hash = xxhash.xxh64_intdigest(view.instance.encode())
    return views.Member(view.instance, view.data_centre, view.latency_s, name_hash)
