"""State that the tasks of one forwarding process share."""

from __future__ import annotations

import collections
import collections.abc
import math

from chicoryweir_daemon.forwarder import freezes
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import process
from chicoryweir_policy.forwarding import budget
from chicoryweir_policy.forwarding import coldstarts
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
from chicoryweir_policy.forwarding import returns
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import selection
from chicoryweir_policy.forwarding import statements
from chicoryweir_policy.forwarding import stopping
from chicoryweir_policy.forwarding import ways
from chicoryweir_policy.routing import outliers

# Maximum number of headers without a known meaning that are remembered and logged.
MAX_UNKNOWN_STATEMENTS = 64
# Time after an endpoint turned warm in which answers that began before may end.
COLD_ANSWER_S = 2.0


class Fleet:
    """State of one entry: configuration, endpoints, other entries and loads.

    Attributes:
        table: Routes of the configuration in force; None before the first one.
        configuration_data: The configuration in force, as stored.
        slowdowns: Slowdowns of slow instances in the groups that this entry
            coordinates.
        ejected_until: Time at which the ejection of an instance ends, in seconds.
        progress_at: Time of the latest answer data from any endpoint, by service.
        duties: Fleet-wide duties for which this entry holds a lease.
        released_fence: Highest fencing token that this entry released and won't act
            under again.
        stop: Planned stop of this entry.
        announced_at: Boot time of the last announcement, in seconds.
        endpoints_listed: Whether a complete list of the endpoints was read once.
    """

    def __init__(self, settings: process.Settings, clock: interfaces.Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.table: routes.RouteTable | None = None
        self.configuration_data = b""
        self.evacuations = evacuations.Evacuations()
        self.freezes = freezes.FreezeGuard(
            clock, settings.bounds.evacuation_s is not None
        )
        self.endpoints = endpoints.EndpointTable(settings.heartbeat_s, self.evacuations)
        self.loads = loads.LoadTable()
        self.peers = peers.PeerTable(settings.name, settings.host)
        self.outliers = outliers.OutlierDetector()
        self.crashes = crashes.CrashTracker(settings.name)
        self.rate_limits = ratelimits.RateLimits(settings.name)
        self.rests = rests.Rests(settings.data_centre)
        self.cold_endpoints = coldstarts.ColdEndpoints(settings.host)
        self.slowdowns: dict[str, float] = {}
        self._merged_slowdowns: dict[str, float] = {}
        self.ejected_until: dict[str, float] = {}
        self.progress_at: collections.defaultdict[str, float]
        self.progress_at = collections.defaultdict(float)
        self.duties: frozenset[str] = frozenset()
        self.released_fence = 0
        self.stopping = False
        self.stop = stopping.NEVER
        self.announced_at = -math.inf
        self.endpoints_listed = False
        self._selector = selection.create_selector(settings.data_centre)
        self._dispatchers: dict[str, dispatching.Dispatcher] = {}
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._durations: dict[str, stopping.AnswerDurations] = {}
        self._first_attempts: dict[str, returns.FirstAttempts] = {}
        self._unknown_statements: set[tuple[str, str]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts callers."""
        return (
            self.table is not None
            and self.evacuations.is_known
            and self.endpoints_listed
            and not self.stopping
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return 0 if self.table is None else self.table.version

    def adopt(self, config: configuration.Configuration, data: bytes) -> bool:
        """Adopts a configuration if it is newer; returns whether it was adopted."""
        if config.version <= self.version:
            return False
        self.table = routes.RouteTable(config)
        self.cold_endpoints.set_services(config.services)
        self.configuration_data = data
        return True

    def get_dispatcher(self, service: str) -> dispatching.Dispatcher:
        """Returns the dispatcher of a service; creates it on first use."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            dispatcher = dispatching.Dispatcher(
                self.endpoints,
                self.loads,
                self._selector,
                queueing.create_request_queue(),
                self.settings.name,
            )
            configured = () if self.table is None else self.table.configuration.routes
            way = ways.choose_way(self.settings.shedding, service, configured)
            dispatcher.set_shedding(ways.create_shedding(way, self.settings.name))
            dispatcher.set_avoidance(self._is_ejected)
            dispatcher.set_slowdowns(self._merged_slowdowns)
            dispatcher.set_rate_limits(self.rate_limits)
            dispatcher.set_rests(self.rests)
            dispatcher.set_cold_endpoints(self.cold_endpoints)
            self._dispatchers[service] = dispatcher
        return dispatcher

    def list_dispatchers(self) -> list[tuple[str, dispatching.Dispatcher]]:
        """Returns service names with their dispatchers."""
        return list(self._dispatchers.items())

    def count_on_time(self) -> dict[str, int]:
        """Returns the number of queued requests that can be on time, by service."""
        counts = {name: d.count_on_time() for name, d in self._dispatchers.items()}
        return {name: count for name, count in counts.items() if count}

    def apply_settings(self, settings: process.Settings) -> None:
        """Applies the settings that can change without a restart."""
        self.settings = settings
        bounds = settings.bounds
        self.cold_endpoints.set_bounds(bounds.cold_over, bounds.cold_slack)
        self.add_entry_hosts(settings.seeds)

    def add_entry_hosts(
        self, hosts: collections.abc.Collection[str], are_all: bool = False
    ) -> None:
        """Adds hosts on which an entry may run.

        Args:
            hosts: The hosts.
            are_all: Whether they are all hosts that the store lists.
        """
        now = self.clock.read()
        self.peers.add_hosts(hosts, now)
        self.cold_endpoints.participants.add_hosts(hosts, now, are_all)

    def discard_measurements(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Discards what was measured of an endpoint that started, and its ejection."""
        service = self.table and self.table.get_service(endpoint.service)
        cold_s = max(endpoint.cold_s, service.cold_start_s if service else 0.0)
        ignored_until = now + cold_s + COLD_ANSWER_S if cold_s > 0.0 else now
        self.outliers.discard(endpoint.instance, ignored_until)
        self.ejected_until.pop(endpoint.instance, None)

    def apply_peer_announcements(self, now: float) -> None:
        """Passes the other entries' announcements to the dispatchers."""
        alive = self.peers.list_alive(now)
        self.crashes.parts.set_entries(peer.name for peer in alive)
        self.rate_limits.set_entries(peer.name for peer in alive if peer.ready)
        for name, dispatcher in self._dispatchers.items():
            dispatcher.set_peer_on_time(
                sum(peer.on_time.get(name, 0) for peer in alive)
            )
        self._update_slowdowns(alive)

    def record_statement(
        self,
        endpoint: endpoints.Endpoint,
        statement: statements.Statement,
        sent_at: float,
        now: float,
    ) -> endpoints.Transition | None:
        """Passes on what an endpoint states to the decisions that use it.

        Args:
            endpoint: The endpoint.
            statement: What it states in an answer.
            sent_at: Time at which the request was sent.
            now: Present time, monotonic seconds.

        Returns:
            The effect on the table of endpoints, if any.
        """
        self.rate_limits.record(endpoint, statement.max_rate, now)
        self.rests.record(endpoint, statement.rest_s, sent_at, now)
        self.cold_endpoints.record_statement(endpoint, statement.cold_s, now)
        if not statement.leaving:
            return None
        leaving = endpoints.Leaving(endpoint.instance, endpoint.born_ms)
        return self.endpoints.record_stated_leaving(leaving, now)

    def take_unknown_statements(
        self, service: str, statement: statements.Statement
    ) -> list[str]:
        """Returns the headers without a known meaning that are new for a service."""
        taken = [
            name
            for name in statement.unknown
            if (service, name) not in self._unknown_statements
            and len(self._unknown_statements) < MAX_UNKNOWN_STATEMENTS
        ]
        self._unknown_statements.update((service, name) for name in taken)
        return taken

    def get_retry_budget(self, service: str) -> budget.RetryBudget:
        """Returns this entry's retry budget for a service."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            bounds = self.settings.bounds
            retry_budget = budget.RetryBudget(
                bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
            )
            self._budgets[service] = retry_budget
        return retry_budget

    def get_durations(self, route: str) -> stopping.AnswerDurations:
        """Returns how long the answers to the requests of a route take."""
        return self._durations.setdefault(route, stopping.AnswerDurations())

    def get_first_attempts(self, route: str) -> returns.FirstAttempts:
        """Returns what tells the first attempts of a route's requests from others."""
        return self._first_attempts.setdefault(route, returns.FirstAttempts())

    def count_entries(self, now: float) -> int:
        """Returns the number of serving entries, including this one."""
        return self.peers.count_entries(now)

    async def confirm_sending(self, data_centre: str) -> bool:
        """Returns whether a request may be sent to a data centre now."""
        await self.freezes.await_release()
        return not self.evacuations.is_evacuated(data_centre)

    def set_slowdowns(self, slowdowns: dict[str, float], now: float) -> None:
        """Sets the slowdowns in the groups that this entry coordinates."""
        self.slowdowns = slowdowns
        self._update_slowdowns(self.peers.list_alive(now))

    def _update_slowdowns(self, alive: list[peers.Announcement]) -> None:
        """Merges all entries' slowdowns and passes them to the dispatchers."""
        merged: dict[str, float] = {}
        for peer in alive:
            merged.update(peer.slowdowns)
        merged.update(self.slowdowns)
        if merged == self._merged_slowdowns:
            return
        self._merged_slowdowns = merged
        for dispatcher in self._dispatchers.values():
            dispatcher.set_slowdowns(merged)

    def _is_ejected(self, instance: str, now: float) -> bool:
        return self.ejected_until.get(instance, 0.0) > now
