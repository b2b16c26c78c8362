"""Runs the forwarding process: listeners, tasks, signals and the planned stop."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import signal
import time

from chicoryweir_daemon.forwarder import desk as desks
from chicoryweir_daemon.forwarder import exchange
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import gossip as gossips
from chicoryweir_daemon.forwarder import handover as handovers
from chicoryweir_daemon.forwarder import ingress as ingresses
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_daemon.forwarder import meters as meter_books
from chicoryweir_daemon.forwarder import operations
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import seams
from chicoryweir_daemon.forwarder import watches
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_daemon.forwarder.mapcontrol import map_controller
from chicoryweir_daemon.forwarder.mapcontrol import rank_client
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import resolving

# Connections that wait to be accepted; a full queue costs a caller a second.
BACKLOG = 1024
# Callers that keep an answer three times as long still come for this many ttls.
LINGER_TTLS = 3.2
# Left of the grace for breaking off what can't end, in seconds.
STOP_MARGIN_S = 0.4
# While stopping, connections are looked at this often, in seconds.
IDLE_CHECK_S = 0.05
# Outliers are looked for this often, in seconds.
EJECTION_PERIOD_S = 1.0
# A settings file that changes without a signal is found within this time, in seconds.
SETTINGS_PERIOD_S = 2.0
# Asking the store for other entries is tried again after this time, in seconds.
ENROL_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What one kind of surroundings provides."""

    registry: seams.Registry
    store: protocols.Store
    ranks: rank_client.RankCodec
    dialect: seams.Dialect
    decoder: seams.Decoder
    vocabulary: operations.Vocabulary


class LoopClock:
    """Clocks of the process."""

    def read(self) -> float:
        """Returns monotonic time, in seconds."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Returns Unix time, in seconds."""
        return time.time()

    def read_boot(self) -> float:
        """Returns time in seconds that goes on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Service:
    """The forwarding process."""

    def __init__(
        self,
        settings: process.Settings,
        create_surroundings: collections.abc.Callable[[connections.Pool], Surroundings],
        source: seams.SettingsSource,
    ) -> None:
        clock = LoopClock()
        self._settings = settings
        self._source = source
        self._reload = asyncio.Event()
        self._failed = False
        self._fleet = fleets.Fleet(settings, clock)
        self._journal = journals.Journal(settings.name)
        self._meters = meter_books.Meters()
        self._pool = connections.Pool()
        self._store_pool = connections.Pool()
        self._surroundings = create_surroundings(self._store_pool)
        self._desk = desks.Desk(self._fleet)
        tools = exchange.Tools(
            self._fleet,
            self._desk,
            self._pool,
            self._surroundings.dialect,
            self._journal,
            self._meters,
        )
        self._ingress = ingresses.Ingress(tools)
        self._operations = operations.Operations(
            self._fleet, self._meters, self._surroundings.vocabulary
        )
        self._callers: set[callers.CallerConnection] = set()
        self._askers: set[callers.CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._health = watches.StoreHealth(self._fleet, self._journal)
        self._configurations = watches.ConfigurationWatch(
            self._fleet,
            self._surroundings.registry,
            self._surroundings.decoder,
            self._journal,
            self._health,
        )
        self._handover = handovers.Handover(
            self._fleet, self._store_pool, self._configurations, self._journal
        )
        incarnation = time.time_ns() // 1000
        self._gossip = gossips.Gossip(
            self._fleet, self._journal, incarnation, self._handover.learn_version
        )
        self._holder = lease_holder.LeaseHolder(
            self._fleet, self._surroundings.store, self._journal, incarnation
        )
        self._map_controller = map_controller.MapController(
            self._fleet,
            self._holder,
            rank_client.HttpRankClient(
                self._store_pool,
                self._surroundings.ranks,
                settings.peer_port,
                clock,
                self._journal,
            ),
            self._journal,
        )
        self._stop = asyncio.Event()
        self._add_gauges()

    async def run(self) -> bool:
        """Serves until SIGTERM or SIGINT, then stops within the grace.

        Returns:
            Whether the process was told to stop.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self._listen()
        self._fleet.peers.add_hosts(self._settings.seeds, self._fleet.clock.read())
        tasks = [
            asyncio.create_task(work)
            for work in (
                self._configurations.run(),
                watches.EndpointWatch(
                    self._fleet,
                    self._surroundings.registry,
                    self._journal,
                    self._health,
                ).run(),
                self._gossip.run(),
                self._desk.run(),
                self._eject_outliers(),
                self._enrol(),
                self._follow_settings(),
                self._handover.run(),
                self._holder.run(),
                self._map_controller.run(),
            )
        ]
        for task in tasks:
            task.add_done_callback(self._note_end)
        await self._stop.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        detail = "a task failed" if self._failed else "planned stop"
        self._journal.record(catalogue.DAEMON_STOPPED, detail=detail)
        return not self._failed

    async def _listen(self) -> None:
        settings = self._settings
        await self._gossip.open()
        inner = process.Listener(settings.host, settings.peer_port)
        metrics = process.Listener(settings.host, settings.metrics_port)
        asked = (settings.readiness, settings.resolution, inner, metrics)
        for listener in {place for place in asked if place is not None}:
            await self._serve(
                listener, self._operations, lambda: operations.LIMITS, self._askers
            )
        await self._serve(
            settings.callers, self._ingress, self._ingress.get_limits, self._callers
        )
        self._journal.record(catalogue.DAEMON_STARTED, callers=str(settings.callers))

    async def _serve(
        self,
        listener: process.Listener,
        handler: callers.Handler,
        get_limits: collections.abc.Callable[[], callers.ServerLimits],
        registry: set[callers.CallerConnection],
    ) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: callers.CallerConnection(
                handler, get_limits, registry, lambda: self._fleet.stopping
            ),
            listener.host,
            listener.port,
            backlog=BACKLOG,
        )
        self._servers.append(server)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Stops the process when a task that should run for good has ended."""
        if task.cancelled() or self._fleet.stopping or self._stop.is_set():
            return
        self._journal.record(
            catalogue.INVARIANT_VIOLATED,
            detail=f"{task.get_coro()!r} ended: {task.exception()!r}",
        )
        self._failed = True
        self._stop.set()

    async def _drain(self) -> None:
        """Lets callers leave: new ones no longer come, old ones get their answers."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        ends_at = began_at + self._settings.bounds.grace_s - STOP_MARGIN_S
        self._fleet.stopping = True
        self._journal.record(catalogue.DRAIN_STARTED, connections=len(self._callers))
        self._gossip.announce(force=True)
        withdrawing = asyncio.create_task(
            self._surroundings.registry.withdraw(self._settings.name)
        )
        linger_s = resolving.ANSWER_TTL_S * LINGER_TTLS
        await asyncio.sleep(min(linger_s, ends_at - began_at))
        for connection in list(self._callers):
            if connection.is_idle:
                connection.close_after_answer()
        for server in self._servers:
            server.close()
        await self._await_callers(ends_at - loop.time())
        withdrawing.cancel()
        (failed,) = await asyncio.gather(withdrawing, return_exceptions=True)
        if failed is not None:
            self._journal.record(
                catalogue.STORE_UNREACHABLE, detail=f"not withdrawn: {failed!r}"
            )
        if self._callers:
            self._journal.record(
                catalogue.DRAIN_TIMED_OUT, connections=len(self._callers)
            )

    async def _await_callers(self, limit_s: float) -> None:
        """Waits until no caller is connected, or for `limit_s` seconds."""
        for _ in range(int(limit_s / IDLE_CHECK_S)):
            if not self._callers:
                return
            await asyncio.sleep(IDLE_CHECK_S)

    async def _eject_outliers(self) -> None:
        while True:
            await asyncio.sleep(EJECTION_PERIOD_S)
            now = self._fleet.clock.read()
            for service, _ in self._fleet.list_dispatchers():
                usable = self._fleet.endpoints.list_usable(service, now)
                members = [endpoint.instance for endpoint in usable]
                for ejected in self._fleet.outliers.eject(members, now):
                    self._fleet.ejected[ejected.instance] = ejected.until
                    self._journal.record(
                        catalogue.ENDPOINT_EJECTED,
                        peer=ejected.instance,
                        for_s=round(ejected.until - now, 2),
                        pace_s=round(ejected.pace_s, 4),
                        median_pace_s=round(ejected.median_pace_s, 4),
                        failure_share=round(ejected.failure_share, 2),
                    )

    async def _follow_settings(self) -> None:
        """Takes changed settings, after SIGHUP or without; keeps the old if bad."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._reload.wait(), SETTINGS_PERIOD_S)
            signalled = self._reload.is_set()
            self._reload.clear()
            if not self._source.has_changed() and not signalled:
                continue
            try:
                settings = self._source.load()
            except ValueError as error:
                self._journal.record(catalogue.SETTINGS_FILE_BAD, detail=str(error))
                continue
            self._take_settings(settings, signalled)

    def _take_settings(self, settings: process.Settings, signalled: bool) -> None:
        """Puts what can change while serving in force: bounds, seeds."""
        kept = dataclasses.replace(
            self._settings, bounds=settings.bounds, seeds=settings.seeds
        )
        self._journal.record(
            catalogue.DAEMON_RELOADED,
            signalled=signalled,
            needs_restart=kept != settings,
        )
        self._settings = kept
        self._fleet.settings = kept
        self._fleet.peers.add_hosts(kept.seeds, self._fleet.clock.read())

    async def _enrol(self) -> None:
        """Makes this entry known through the store, and finds the others there."""
        registry = self._surroundings.registry
        settings = self._settings
        enrolled = False
        while True:
            if not enrolled:
                failed = await registry.enrol(settings.name, settings.host)
                enrolled = failed is None
                if failed is not None:
                    self._journal.record(
                        catalogue.STORE_UNREACHABLE,
                        detail=f"not enrolled yet: {failed.detail}",
                    )
            hosts = await registry.list_entries()
            if not isinstance(hosts, seams.Unreachable):
                self._fleet.peers.add_hosts(hosts, self._fleet.clock.read())
                self._gossip.announce(force=True)
                if enrolled:
                    break
            await asyncio.sleep(ENROL_RETRY_S)
        await asyncio.Event().wait()

    def _add_gauges(self) -> None:
        self._meters.gauge("caller_connections", lambda: len(self._callers))
        self._meters.gauge("opened_connections", lambda: self._pool.opened)
        self._meters.gauge("idle_connections", lambda: self._pool.count_idle())
        self._meters.gauge("configuration_version", lambda: self._fleet.version)
        self._meters.gauge(
            "waiting_requests",
            lambda: sum(len(d) for _, d in self._fleet.list_dispatchers()),
        )


async def run(
    settings: process.Settings,
    create_surroundings: collections.abc.Callable[[connections.Pool], Surroundings],
    source: seams.SettingsSource,
) -> bool:
    """Runs a forwarding process; returns whether it was told to stop."""
    return await Service(settings, create_surroundings, source).run()
