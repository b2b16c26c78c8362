"""Runs the forwarding process: listeners, tasks, signals and the graceful stop."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import secrets
import time

from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import evacuationreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import gossip as gossips
from chicoryweir_daemon.forwarder import ingress as ingresses
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import operations
from chicoryweir_daemon.forwarder import peerfetch
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import refusalreports
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.forwarder import watches
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_daemon.forwarder.mapcontrol import map_controller
from chicoryweir_daemon.forwarder.mapcontrol import rank_client
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.lifecycle import descriptors
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import resolving

# Maximum number of connections that wait to be accepted. If the queue is full, a caller
# is delayed by 1 s.
BACKLOG = 1024
# Shares of the descriptors that connections of callers, and those for readiness,
# addresses, metrics and other entries, may use. Endpoints get the rest.
CALLER_DESCRIPTOR_SHARE = 0.6
OPERATIONS_DESCRIPTOR_SHARE = 0.1
# Time for which a stopping entry still accepts connections, as a multiple of the
# address TTL; some callers cache an address for three TTLs.
LINGER_TTLS = 3.2
# Part of the grace period that is reserved for ending the process, and part of it that
# is reserved for ending unfinished requests before that.
ABORT_MARGIN_S = 0.4
ANSWER_MARGIN_S = 0.3
# Interval at which a stopping entry checks for open connections.
CONNECTION_CHECK_S = 0.05
EJECTION_PERIOD_S = 1.0
# Interval at which the settings file is checked for changes without a signal.
SETTINGS_CHECK_S = 2.0
# Entries of earlier releases take the greater of two incarnations for the later
# process, and have incarnations of fewer bits.
INCARNATION_BITS = 62
# Delay between two attempts to register this entry and to list the other entries.
REGISTRATION_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """Implementations of the interfaces for one platform."""

    registry: interfaces.Registry
    store: protocols.Store
    rank_codec: rank_client.RankCodec
    header_codec: interfaces.HeaderCodec
    configuration_decoder: interfaces.ConfigurationDecoder
    operations_format: operations.OperationsFormat


class SystemClock:
    """Clocks of the process."""

    def read(self) -> float:
        """Returns monotonic time, in seconds."""
        return time.monotonic()

    def read_boot(self) -> float:
        """Returns time since boot, including suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Service:
    """The forwarding process."""

    def __init__(
        self,
        settings: process.Settings,
        create_adapters: collections.abc.Callable[[connections.Pool], PlatformAdapters],
        source: startup.SettingsSource[process.Settings],
        requests: eventloop.Requests,
    ) -> None:
        clock = SystemClock()
        self._settings = settings
        self._settings_source = source
        self._stop = requests.stop
        self._reload = requests.reload
        self._task_failed = False
        self._fleet = fleets.Fleet(settings, clock)
        self._event_log = eventlog.EventLog(settings.name)
        self._metrics = metrics_registry.MetricsRegistry()
        self._refusals = refusalreports.RefusalReport(self._metrics)
        self._account = refusalreports.create_account(
            settings.memory_bytes, settings.received, self._refusals
        )
        self._pool = connections.Pool(self._account, settings.received)
        self._store_pool = connections.Pool(self._account, settings.received)
        self._adapters = create_adapters(self._store_pool)
        self._allocator = allocation.EndpointAllocator(self._fleet)
        context = exchangecontext.ExchangeContext(
            self._fleet,
            self._allocator,
            self._pool,
            self._adapters.header_codec,
            self._event_log,
            self._metrics,
        )
        self._ingress = ingresses.Ingress(context)
        self._operations = operations.OperationsHandler(
            self._fleet, self._metrics, self._adapters.operations_format
        )
        self._caller_connections: set[callers.CallerConnection] = set()
        self._operations_connections: set[callers.CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._store_health = storehealth.StoreHealth(self._fleet, self._event_log)
        self._configuration_watch = watches.ConfigurationWatch(
            self._fleet,
            self._adapters.registry,
            self._adapters.configuration_decoder,
            self._event_log,
            self._store_health,
        )
        self._peer_fetcher = peerfetch.PeerFetcher(
            self._fleet, self._store_pool, self._configuration_watch, self._event_log
        )
        incarnation = _create_incarnation()
        self._gossip = gossips.Gossip(
            self._fleet,
            self._event_log,
            incarnation,
            self._peer_fetcher.fetch_newer_configuration,
        )
        self._lease_holder = lease_holder.LeaseHolder(
            self._fleet,
            self._adapters.store,
            self._event_log,
            self._store_health,
            incarnation,
        )
        self._map_controller = map_controller.MapController(
            self._fleet,
            self._lease_holder,
            rank_client.HttpRankClient(
                self._store_pool,
                self._adapters.rank_codec,
                settings.peer_port,
                clock,
                self._event_log,
            ),
            self._event_log,
        )
        self._add_gauges()

    async def run(self) -> bool:
        """Serves until a stop request, then stops within the grace period.

        Returns:
            True after a stop request, False if a task failed.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            supervision.create_exception_handler(self._event_log)
        )
        if not await self._listen():
            self._event_log.record(
                catalogue.DAEMON_STOPPED,
                detail="planned stop before all ports were free",
            )
            return True
        self._fleet.apply_settings(self._settings)
        endpoint_watch = watches.EndpointWatch(
            self._fleet, self._adapters.registry, self._event_log, self._store_health
        )
        runs = {
            "configuration": self._configuration_watch.run,
            "endpoints": endpoint_watch.run,
            "announcements": self._gossip.run,
            "allocation": self._allocator.run,
            "outliers": self._eject_outliers,
            "registration": self._register,
            "settings": self._watch_settings,
            "fetches": self._peer_fetcher.run,
            "lease": self._lease_holder.run,
            "expert maps": self._map_controller.run,
            "evacuations": evacuationreports.Reporter(self._fleet, self._event_log).run,
            "refusals": lambda: self._refusals.run(self._account, self._event_log),
        }
        tasks = {
            name: asyncio.create_task(supervision.supervise(run, name, self._event_log))
            for name, run in runs.items()
        }
        for task in tasks.values():
            task.add_done_callback(self._handle_task_end)
        await self._stop.wait()
        await self._drain(tasks["registration"])
        for task in await eventloop.cancel_tasks(tasks.values()):
            self._event_log.record(
                catalogue.INVARIANT_VIOLATED,
                detail=f"{task.get_coro()!r} did not end when cancelled",
            )
        self._refusals.write(self._account, self._event_log)
        detail = "a task failed" if self._task_failed else "planned stop"
        self._event_log.record(catalogue.DAEMON_STOPPED, detail=detail)
        return not self._task_failed

    async def _listen(self) -> bool:
        """Opens all listeners; returns False if a stop is requested before that."""
        settings = self._settings
        peer_listener = process.Listener(settings.host, settings.peer_port)
        metrics_listener = process.Listener(settings.host, settings.metrics_port)
        candidates = (
            settings.readiness,
            settings.resolution,
            peer_listener,
            metrics_listener,
        )
        operations_limits = dataclasses.replace(
            operations.LIMITS, received=settings.received
        )
        opened = await self._open(self._gossip.open, peer_listener)
        # The address is handed out as soon as the others are open.
        opened = opened and await self._serve(
            settings.callers,
            self._ingress,
            self._ingress.get_limits,
            self._caller_connections,
            CALLER_DESCRIPTOR_SHARE,
        )
        for listener in {
            candidate for candidate in candidates if candidate is not None
        }:
            opened = opened and await self._serve(
                listener,
                self._operations,
                lambda: operations_limits,
                self._operations_connections,
                OPERATIONS_DESCRIPTOR_SHARE,
            )
        if opened:
            self._event_log.record(
                catalogue.DAEMON_STARTED, callers=str(settings.callers)
            )
        return opened

    async def _serve(
        self,
        listener: process.Listener,
        handler: callers.Handler,
        get_limits: collections.abc.Callable[[], callers.ServerLimits],
        open_connections: set[callers.CallerConnection],
        descriptor_share: float,
    ) -> bool:
        gate = descriptors.create_gate(descriptor_share, self._event_log)
        loop = asyncio.get_running_loop()

        async def open_server() -> None:
            server = await loop.create_server(
                lambda: callers.CallerConnection(
                    handler,
                    get_limits,
                    open_connections,
                    lambda: self._fleet.stopping,
                    gate.admit,
                    self._account,
                ),
                listener.host,
                listener.port,
                backlog=BACKLOG,
            )
            self._servers.append(server)

        return await self._open(open_server, listener)

    async def _open(
        self,
        open_socket: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        listener: process.Listener,
    ) -> bool:
        return await startup.open_listener(
            open_socket, str(listener), self._stop, self._event_log
        )

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Stops the process if a task that runs until the stop has ended early."""
        if task.cancelled() or self._fleet.stopping or self._stop.is_set():
            return
        self._event_log.record(
            catalogue.INVARIANT_VIOLATED,
            detail=f"{task.get_coro()!r} ended: {task.exception()!r}",
        )
        self._task_failed = True
        self._stop.set()

    async def _drain(self, registration: asyncio.Task[None]) -> None:
        """Announces the stop, then closes listeners and waits for open answers.

        The listeners stay open until the addresses that callers cache have expired.

        Args:
            registration: Task that registers this entry.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline_at = started_at + self._settings.bounds.grace_s - ABORT_MARGIN_S
        self._fleet.stopping = True
        self._fleet.stop_at = max(started_at, deadline_at - ANSWER_MARGIN_S)
        self._ingress.begin_stop()
        self._event_log.record(
            catalogue.DRAIN_STARTED, connections=len(self._caller_connections)
        )
        self._gossip.announce(force=True)
        deregistration = asyncio.create_task(self._deregister(registration))
        linger_s = resolving.ANSWER_TTL_S * LINGER_TTLS
        await asyncio.sleep(min(linger_s, deadline_at - started_at))
        for connection in list(self._caller_connections):
            if connection.is_idle:
                connection.close_after_answer()
        for server in self._servers:
            server.close()
        await self._await_callers(deadline_at)
        await eventloop.cancel_tasks([deregistration])
        self._record_deregistration(deregistration)
        if self._caller_connections:
            self._event_log.record(
                catalogue.DRAIN_TIMED_OUT, connections=len(self._caller_connections)
            )

    async def _deregister(
        self, registration: asyncio.Task[None]
    ) -> interfaces.Written | interfaces.Unreachable:
        """Deregisters this entry, which is not registered again afterwards."""
        await eventloop.cancel_tasks([registration])
        return await self._adapters.registry.deregister_entry(self._settings.name)

    def _record_deregistration(
        self, deregistration: asyncio.Task[interfaces.Written | interfaces.Unreachable]
    ) -> None:
        """Logs a deregistration that failed or didn't end in time."""
        if not deregistration.done() or deregistration.cancelled():
            detail = "no answer in time"
        elif (error := deregistration.exception()) is not None:
            detail = repr(error)
        elif isinstance(result := deregistration.result(), interfaces.Unreachable):
            detail = result.detail
        else:
            return
        self._event_log.record(
            catalogue.STORE_UNREACHABLE, detail=f"not deregistered: {detail}"
        )

    async def _await_callers(self, deadline_at: float) -> None:
        """Waits until no caller is connected, or until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_at:
            if not self._caller_connections:
                return
            await asyncio.sleep(CONNECTION_CHECK_S)

    async def _eject_outliers(self) -> None:
        while True:
            await asyncio.sleep(EJECTION_PERIOD_S)
            now = self._fleet.clock.read()
            for service, _ in self._fleet.list_dispatchers():
                usable = self._fleet.endpoints.list_usable(service, now)
                instances = [endpoint.instance for endpoint in usable]
                for ejection in self._fleet.outliers.eject(instances, now):
                    self._fleet.ejected_until[ejection.instance] = ejection.until
                    self._event_log.record(
                        catalogue.ENDPOINT_EJECTED,
                        peer=ejection.instance,
                        for_s=round(ejection.until - now, 2),
                        pace_s=round(ejection.token_time_s, 4),
                        median_pace_s=round(ejection.median_token_time_s, 4),
                        failure_share=round(ejection.failure_share, 2),
                    )

    async def _watch_settings(self) -> None:
        """Reloads settings on SIGHUP or a file change, once they are valid."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self._reload.wait()
            signalled = self._reload.is_set()
            self._reload.clear()
            if not self._settings_source.has_changed() and not signalled:
                continue
            settings = await startup.load_settings(
                self._settings_source, self._stop, self._event_log
            )
            if settings is not None:
                self._apply_settings(settings, signalled)

    def _apply_settings(self, settings: process.Settings, signalled: bool) -> None:
        """Applies the settings that can change without a restart: bounds and seeds."""
        applied = dataclasses.replace(
            self._settings, bounds=settings.bounds, seeds=settings.seeds
        )
        self._event_log.record(
            catalogue.DAEMON_RELOADED,
            signalled=signalled,
            needs_restart=applied != settings,
        )
        self._settings = applied
        self._fleet.apply_settings(applied)

    async def _register(self) -> None:
        """Registers this entry in the store and adds the other entries' hosts.

        Repeats this when the store was restored, which may have lost the registration.
        """
        registry = self._adapters.registry
        settings = self._settings
        written: interfaces.Written | None = None
        while True:
            if written is None:
                result = await registry.register_entry(settings.name, settings.host)
                if isinstance(result, interfaces.Written):
                    written = result
                    self._store_health.observe_era(written.era)
                else:
                    self._event_log.record(
                        catalogue.STORE_UNREACHABLE,
                        detail=f"not registered yet: {result.detail}",
                    )
            hosts = await registry.list_entries()
            if not isinstance(hosts, interfaces.Unreachable):
                self._fleet.add_entry_hosts(hosts, are_all=True)
                self._gossip.announce(force=True)
                if written is not None:
                    await self._store_health.await_restore(written.era)
                    written = None
                    continue
            await asyncio.sleep(REGISTRATION_RETRY_S)

    def _add_gauges(self) -> None:
        cold_endpoints = self._fleet.cold_endpoints
        self._metrics.register_gauge(
            "cold_endpoints",
            lambda: cold_endpoints.count_cold(
                self._fleet.endpoints.list_current(), self._fleet.clock.read()
            ),
        )
        self._metrics.register_gauge(
            "cold_held_back_requests", lambda: cold_endpoints.held_back
        )
        self._metrics.register_gauge(
            "caller_connections", lambda: len(self._caller_connections)
        )
        self._metrics.register_gauge("held_bytes", lambda: self._account.used_bytes)
        self._metrics.register_gauge("opened_connections", lambda: self._pool.opened)
        self._metrics.register_gauge(
            "idle_connections", lambda: self._pool.count_idle()
        )
        self._metrics.register_gauge(
            "configuration_version", lambda: self._fleet.version
        )
        self._metrics.register_gauge(
            "held_prompt_parts", lambda: self._fleet.crashes.parts.count_held()
        )
        evacuationreports.register_gauges(self._fleet, self._metrics)
        self._metrics.register_gauge(
            "waiting_requests",
            lambda: sum(len(d) for _, d in self._fleet.list_dispatchers()),
        )


def _create_incarnation() -> int:
    """Returns a random identifier of a process."""
    return secrets.randbits(INCARNATION_BITS - 1) | 1 << (INCARNATION_BITS - 1)


async def run(
    source: startup.SettingsSource[process.Settings],
    bind_adapters: collections.abc.Callable[
        [process.Settings],
        collections.abc.Callable[[connections.Pool], PlatformAdapters],
    ],
    requests: eventloop.Requests,
) -> bool:
    """Runs a forwarding process; returns False if a task of it failed."""
    event_log = eventlog.EventLog("")
    settings = await startup.load_settings(source, requests.stop, event_log)
    if settings is None:
        event_log.record(
            catalogue.DAEMON_STOPPED, detail="planned stop without valid settings"
        )
        return True
    service = Service(settings, bind_adapters(settings), source, requests)
    return await service.run()
