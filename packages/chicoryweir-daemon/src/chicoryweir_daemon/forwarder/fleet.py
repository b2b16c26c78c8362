"""State that the tasks of one forwarding process share."""

from __future__ import annotations

import collections
import math

from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import seams
from chicoryweir_policy.forwarding import budget
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import selection
from chicoryweir_policy.routing import outliers


class Fleet:
    """What one entry knows: configuration, endpoints, other entries, work."""

    def __init__(self, settings: process.Settings, clock: seams.Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.table: routes.RouteTable | None = None
        self.document = b""
        self.endpoints = endpoints.EndpointTable()
        self.loads = loads.LoadTable()
        self.peers = peers.PeerTable(settings.name, settings.host)
        self.outliers = outliers.OutlierDetector()
        self.crashes = crashes.CrashTracker()
        self.paces: dict[str, float] = {}
        self._slow: dict[str, float] = {}
        self.ejected: dict[str, float] = {}
        self.progress_at: collections.defaultdict[str, float]
        self.progress_at = collections.defaultdict(float)
        self.duties: frozenset[str] = frozenset()
        self.released = 0
        self.stopping = False
        # Boot time of the last announcement, in seconds.
        self.announced_at = -math.inf
        self.listed = False
        self._selector = selection.create_selector(settings.data_centre)
        self._dispatchers: dict[str, dispatching.Dispatcher] = {}
        self._budgets: dict[str, budget.RetryBudget] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the entry takes callers."""
        return self.table is not None and self.listed and not self.stopping

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return 0 if self.table is None else self.table.version

    def adopt(self, config: configuration.Configuration, data: bytes) -> bool:
        """Puts a configuration in force unless it is not newer; tells whether."""
        if config.version <= self.version:
            return False
        self.table = routes.RouteTable(config)
        self.document = data
        return True

    def get_dispatcher(self, service: str) -> dispatching.Dispatcher:
        """Returns the dispatcher of a service."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            dispatcher = dispatching.Dispatcher(
                self.endpoints,
                self.loads,
                self._selector,
                queueing.create_request_queue(),
            )
            dispatcher.set_avoidance(self._is_ejected)
            dispatcher.set_slowdowns(self._slow)
            self._dispatchers[service] = dispatcher
        return dispatcher

    def list_dispatchers(self) -> list[tuple[str, dispatching.Dispatcher]]:
        """Returns the dispatchers by service."""
        return list(self._dispatchers.items())

    def count_timely(self) -> dict[str, int]:
        """Returns the waiting requests that can be in time, by service."""
        counts = {name: d.count_on_time() for name, d in self._dispatchers.items()}
        return {name: count for name, count in counts.items() if count}

    def note_peers(self, now: float) -> None:
        """Tells the dispatchers what the other entries announced."""
        alive = self.peers.list_alive(now)
        for name, dispatcher in self._dispatchers.items():
            dispatcher.set_peer_on_time(
                sum(peer.on_time.get(name, 0) for peer in alive)
            )
        self._note_paces(alive)

    def get_budget(self, service: str) -> budget.RetryBudget:
        """Returns this entry's budget for repeats to a service."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = budget.RetryBudget(
                bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
            )
            self._budgets[service] = found
        return found

    def count_entries(self, now: float) -> int:
        """Returns the entries that serve, this one included."""
        return self.peers.count_entries(now)

    def take_paces(self, paces: dict[str, float], now: float) -> None:
        """Takes the paces of slow instances in the groups that this entry keeps."""
        self.paces = paces
        self._note_paces(self.peers.list_alive(now))

    def _note_paces(self, alive: list[peers.Announcement]) -> None:
        """Tells the dispatchers which instances of groups are slow."""
        slow: dict[str, float] = {}
        for peer in alive:
            slow.update(peer.slowdowns)
        slow.update(self.paces)
        if slow == self._slow:
            return
        self._slow = slow
        for dispatcher in self._dispatchers.values():
            dispatcher.set_slowdowns(slow)

    def _is_ejected(self, instance: str, now: float) -> bool:
        return self.ejected.get(instance, 0.0) > now
