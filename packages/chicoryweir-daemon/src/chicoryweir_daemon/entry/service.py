"""Runs the entry daemon from its start to its graceful stop."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import functools
import math
import pathlib
import secrets
import socket
import ssl
import time
import typing

import uvicorn

from chicoryweir_daemon import configuration
from chicoryweir_daemon import logs
from chicoryweir_daemon.entry import application
from chicoryweir_daemon.entry import callers
from chicoryweir_daemon.entry import connection_limits
from chicoryweir_daemon.entry import limited_protocol
from chicoryweir_daemon.entry import mailboxes
from chicoryweir_daemon.entry import metrics
from chicoryweir_daemon.entry import outcome_window
from chicoryweir_daemon.entry import send_timeouts
from chicoryweir_daemon.entry.operators import contexts
from chicoryweir_daemon.entry.operators import explanations
from chicoryweir_daemon.entry.operators import routes
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import refusalreports
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import links
from chicoryweir_daemon.runtime import platform_tasks
from chicoryweir_daemon.runtime import stopping
from chicoryweir_platform import http_instances
from chicoryweir_platform import http_store
from chicoryweir_policy import catalogue
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import core as entry_core
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances

TICK_S = 0.02
LISTEN_BACKLOG = 2048
# Connections that are accepted at once. Refused ones have a descriptor for some turns
# of the event loop, which must not use up those of other connections.
ACCEPT_BATCH = 16
SHUTDOWN_GRACE_S = 5
TLS_CHECK_PERIOD_S = 5.0


class _Server(uvicorn.Server):
    """An HTTP server that leaves signal handling to this daemon."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept; asyncio accepts as many at once as its backlog is long."""
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(LISTEN_BACKLOG)

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Installs no signal handlers."""
        yield


async def run_entry(
    config: configuration.Configuration, requests: eventloop.Requests
) -> None:
    """Runs an entry until a stop request and the graceful stop that follows.

    Args:
        config: Configuration.
        requests: Requests to this process.

    Raises:
        ValueError: The configuration has no address for callers.
    """
    if config.listen is None:
        raise ValueError("the configuration of an entry must set `listen`")
    incarnation = secrets.token_hex(8)
    entry_config = entry_state.EntryConfig(
        config.instance,
        config.data_centre,
        incarnation,
        config.listen.ip,
        config.listen.port,
    )
    seeds = tuple(seed for seed in config.seeds if seed.instance != config.instance)
    core = entry_core.make_entry_core(entry_config, seeds)
    core_task = cores.CoreTask(core, TICK_S)
    log = logs.make_event_log(config.instance)

    def write_record(record: commands.LogEvent) -> None:
        log.write(record, time.time())

    core_task.set_handler(commands.LogEvent, write_record)
    identity = links.Identity(
        config.instance, instances.Role.ENTRY, config.data_centre, "", incarnation
    )
    link_task = links.LinkTask(identity, config.cluster_secret, core_task, write_record)
    platform_store = http_store.create_store(config.platform_url)
    store_task = platform_tasks.StoreTask(platform_store, core_task, write_record)
    window = outcome_window.OutcomeWindow()
    operator_context = contexts.OperatorContext(
        core=core,
        core_task=core_task,
        platform_store=platform_store,
        window=window,
        log=log,
        explainer=explanations.Explainer(core_task),
        is_store_up=lambda: store_task.is_reachable,
    )
    send_timers = send_timeouts.SendTimers()
    registry = metrics_registry.MetricsRegistry()
    metrics_collector = metrics.MetricsCollector(
        window, link_task.get_traffic, registry
    )
    report = refusalreports.RefusalReport(registry)
    event_log = eventlog.EventLog(config.instance)
    limits = connection_limits.create_connection_limits(
        config, report, registry, event_log
    )
    server = _make_server(
        config,
        core,
        core_task,
        metrics_collector,
        operator_context,
        send_timers,
        limits,
    )
    instance_list = http_instances.create_instance_list(config.platform_url)
    core_run = asyncio.ensure_future(core_task.run())
    background = [
        core_run,
        asyncio.ensure_future(core_task.run_ticker()),
        asyncio.ensure_future(platform_tasks.poll_instances(instance_list, core_task)),
        asyncio.ensure_future(send_timers.run()),
        asyncio.ensure_future(report.run(limits.account, event_log)),
    ]
    listener = await _open_listeners(config, link_task, server, requests.stop)
    if listener is not None:
        if config.tls is not None:
            background.append(asyncio.ensure_future(_reload_tls(server, config.tls)))
        serving = asyncio.ensure_future(server.serve(sockets=[listener]))
        write_record(commands.LogEvent(catalogue.DAEMON_STARTED, "", "", "entry"))
        await stopping.await_stop(core_task, requests.stop, [core_run, serving])
        server.should_exit = True
        await serving
    for background_task in background:
        background_task.cancel()
    await link_task.close()
    write_record(commands.LogEvent(catalogue.DAEMON_STOPPED, "", "", "entry"))


async def _open_listeners(
    config: configuration.Configuration,
    link_task: links.LinkTask,
    server: uvicorn.Server,
    stop: asyncio.Event,
) -> socket.socket | None:
    """Opens the listeners once they can be; returns that for callers.

    Returns None if a stop is requested before that.
    """
    link, listen = config.link, config.listen
    assert listen is not None
    event_log = eventlog.EventLog(config.instance)
    opened: list[socket.socket] = []

    async def open_for_callers() -> None:
        # Loads the certificate, which may be missing as well.
        if not server.config.loaded:
            server.config.load()
        opened.append(_create_listener(listen))

    if await startup.open_listener(
        lambda: link_task.listen(link.ip, link.port),
        f"{link.ip}:{link.port}",
        stop,
        event_log,
    ):
        address = f"{listen.ip}:{listen.port}"
        await startup.open_listener(open_for_callers, address, stop, event_log)
    return opened[0] if opened else None


def _create_listener(address: configuration.Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    return socket.create_server(
        (address.ip, address.port), family=family, backlog=LISTEN_BACKLOG
    )


async def _reload_tls(server: uvicorn.Server, tls: configuration.Tls) -> None:
    """Reloads the certificate and its key when the files change."""
    paths = (pathlib.Path(tls.certificate_file), pathlib.Path(tls.key_file))
    loaded_times = [path.stat().st_mtime for path in paths]
    while True:
        await asyncio.sleep(TLS_CHECK_PERIOD_S)
        try:
            modified_times = [path.stat().st_mtime for path in paths]
            if modified_times != loaded_times and server.config.ssl is not None:
                server.config.ssl.load_cert_chain(*map(str, paths))
                loaded_times = modified_times
        except (OSError, ssl.SSLError):
            continue


def _make_server(
    config: configuration.Configuration,
    core: entry_core.EntryCore,
    core_task: cores.CoreTask,
    metrics_collector: metrics.MetricsCollector,
    operator_context: contexts.OperatorContext,
    send_timers: send_timeouts.SendTimers,
    limits: connection_limits.ConnectionLimits,
) -> uvicorn.Server:
    settings = core.state.settings
    caller_handler = callers.CallerHandler(
        instance=config.instance,
        data_centre=config.data_centre,
        core_task=core_task,
        request_mailboxes=mailboxes.Mailboxes(core_task),
        metrics_collector=metrics_collector,
        get_resolver=lambda: settings.resolver,
        send_timers=send_timers,
    )
    queries = application.EntryQueries(
        rank_addresses=core.peers.rank_entries,
        is_ready=lambda: (
            settings.is_ready
            and bool(core.state.agent_links)
            and core.peers.is_discovery_complete(time.monotonic())
        ),
        has_service=lambda name: (
            settings.tree is not None and name in settings.tree.services
        ),
        address_ttl_ms=int(entry_core.ADDRESS_TTL_S * 1000),
        metrics_collector=metrics_collector,
    )
    tls = config.tls
    protocol = functools.partial(limited_protocol.LimitedProtocol, limits=limits)
    return _Server(
        uvicorn.Config(
            application.make_application(
                caller_handler, queries, [routes.make_router(operator_context)]
            ),
            backlog=ACCEPT_BATCH,
            lifespan="off",
            log_config=None,
            # Any caller could cause a warning for each invalid request.
            log_level="error",
            access_log=False,
            loop="asyncio",
            # uvicorn calls what it takes for a class.
            http=typing.cast(type[asyncio.Protocol], protocol),
            ws="none",
            proxy_headers=False,
            timeout_keep_alive=math.ceil(limits.timeouts.idle_s),
            timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
            ssl_certfile=tls.certificate_file if tls else None,
            ssl_keyfile=tls.key_file if tls else None,
        )
    )
