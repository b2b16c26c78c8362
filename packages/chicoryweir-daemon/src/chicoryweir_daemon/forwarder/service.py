"""Runs the forwarding process: listeners, tasks, signals and the graceful stop."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import secrets

from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import clocks
from chicoryweir_daemon.forwarder import draining
from chicoryweir_daemon.forwarder import ejections
from chicoryweir_daemon.forwarder import evacuationreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import gauges
from chicoryweir_daemon.forwarder import gossip as gossips
from chicoryweir_daemon.forwarder import ingress as ingresses
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import listeners
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import operations
from chicoryweir_daemon.forwarder import peerfetch
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import refusalreports
from chicoryweir_daemon.forwarder import registration
from chicoryweir_daemon.forwarder import settingswatch
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.forwarder import watches
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_daemon.forwarder.mapcontrol import map_controller
from chicoryweir_daemon.forwarder.mapcontrol import rank_client
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue

# Entries of earlier releases take the greater of two incarnations for the later
# process, and have incarnations of fewer bits.
INCARNATION_BITS = 62


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """Implementations of the interfaces for one platform."""

    registry: interfaces.Registry
    store: protocols.Store
    rank_codec: rank_client.RankCodec
    header_codec: interfaces.HeaderCodec
    configuration_decoder: interfaces.ConfigurationDecoder
    operations_format: operations.OperationsFormat


class Service:
    """The forwarding process."""

    def __init__(
        self,
        settings: process.Settings,
        create_adapters: collections.abc.Callable[[connections.Pool], PlatformAdapters],
        source: startup.SettingsSource[process.Settings],
        requests: eventloop.Requests,
    ) -> None:
        clock = clocks.SystemClock()
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
        self._store_health = storehealth.StoreHealth(self._fleet, self._event_log)
        self._settings_watch = settingswatch.SettingsWatch(
            settings, source, requests, self._fleet, self._event_log
        )
        self._create_handlers()
        self._create_fleet_clients(settings, _create_incarnation(), clock)
        gauges.register_gauges(
            self._metrics,
            self._fleet,
            self._pool,
            self._account,
            self._listeners.caller_connections,
        )

    def _create_handlers(self) -> None:
        """Creates the listeners and what handles the requests that they receive."""
        self._listeners = listeners.Listeners(
            self._account,
            lambda: self._fleet.stopping,
            self._stop,
            self._event_log,
        )
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

    def _create_fleet_clients(
        self, settings: process.Settings, incarnation: int, clock: clocks.SystemClock
    ) -> None:
        """Creates what exchanges state with the store, other entries and the ranks."""
        self._configuration_watch = watches.ConfigurationWatch(
            self._fleet,
            self._adapters.registry,
            self._adapters.configuration_decoder,
            self._event_log,
            self._store_health,
            lambda: self._gossip.announce(force=True),
        )
        self._peer_fetcher = peerfetch.PeerFetcher(
            self._fleet, self._store_pool, self._configuration_watch, self._event_log
        )
        self._gossip = gossips.Gossip(
            self._fleet,
            self._event_log,
            incarnation,
            self._peer_fetcher.fetch_newer_configuration,
        )
        self._registration = registration.Registration(
            settings,
            self._fleet,
            self._adapters.registry,
            self._gossip,
            self._store_health,
            self._event_log,
        )
        self._create_map_controller(settings.peer_port, incarnation, clock)

    def _create_map_controller(
        self, peer_port: int, incarnation: int, clock: clocks.SystemClock
    ) -> None:
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
                peer_port,
                clock,
                self._event_log,
            ),
            self._event_log,
        )

    async def run(self) -> bool:
        """Serves until a stop request, then stops within the grace period.

        Returns:
            True after a stop request, False if a task failed.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            supervision.create_exception_handler(self._event_log)
        )
        settings = self._settings_watch.settings
        if not await self._listeners.open(
            settings, self._gossip.open, self._ingress, self._operations
        ):
            self._event_log.record(
                catalogue.DAEMON_STOPPED,
                detail="planned stop before all ports were free",
            )
            return True
        self._fleet.apply_settings(settings)
        tasks = self._start_tasks()
        await self._stop.wait()
        drain = draining.Drain(
            self._fleet,
            self._ingress,
            self._gossip,
            self._listeners,
            self._registration,
            self._event_log,
        )
        grace_s = self._settings_watch.settings.bounds.grace_s
        await drain.run(tasks["registration"], grace_s)
        for task in await eventloop.cancel_tasks(tasks.values()):
            self._event_log.record(
                catalogue.INVARIANT_VIOLATED,
                detail=f"{task.get_coro()!r} did not end when cancelled",
            )
        self._refusals.write(self._account, self._event_log)
        detail = "a task failed" if self._task_failed else "planned stop"
        self._event_log.record(catalogue.DAEMON_STOPPED, detail=detail)
        return not self._task_failed

    def _start_tasks(self) -> dict[str, asyncio.Task[None]]:
        """Starts the tasks that run until the stop; returns them by name."""
        fleet, event_log = self._fleet, self._event_log
        endpoint_watch = watches.EndpointWatch(
            fleet, self._adapters.registry, event_log, self._store_health
        )
        runs = {
            "configuration": self._configuration_watch.run,
            "endpoints": endpoint_watch.run,
            "announcements": self._gossip.run,
            "allocation": self._allocator.run,
            "outliers": lambda: ejections.eject_outliers(fleet, event_log),
            "registration": self._registration.run,
            "settings": self._settings_watch.run,
            "fetches": self._peer_fetcher.run,
            "lease": self._lease_holder.run,
            "expert maps": self._map_controller.run,
            "evacuations": evacuationreports.Reporter(fleet, event_log).run,
            "refusals": lambda: self._refusals.run(self._account, event_log),
        }
        tasks = {
            name: asyncio.create_task(supervision.supervise(run, name, event_log))
            for name, run in runs.items()
        }
        for task in tasks.values():
            task.add_done_callback(self._handle_task_end)
        return tasks

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
