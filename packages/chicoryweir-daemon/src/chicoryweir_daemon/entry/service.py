"""The entry daemon: its tasks, from start to graceful stop."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import pathlib
import secrets
import signal
import ssl
import time

import uvicorn

from chicoryweir_daemon import configuration
from chicoryweir_daemon import logs
from chicoryweir_daemon.entry import application
from chicoryweir_daemon.entry import callers
from chicoryweir_daemon.entry import mailboxes
from chicoryweir_daemon.entry import metrics
from chicoryweir_daemon.entry import senders
from chicoryweir_daemon.entry import windows
from chicoryweir_daemon.entry.operators import desk
from chicoryweir_daemon.entry.operators import explanations
from chicoryweir_daemon.entry.operators import routes
from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import links
from chicoryweir_daemon.runtime import platform_tasks
from chicoryweir_platform import http_instances
from chicoryweir_platform import http_store
from chicoryweir_policy import catalogue
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.entry import core as entry_core
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances

TICK_S = 0.02
BACKLOG = 2048
KEEP_ALIVE_S = 75
LAST_REQUESTS_S = 5
TLS_PERIOD_S = 5.0


class _Server(uvicorn.Server):
    """A server that leaves the signals to this daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Installs no handlers."""
        yield


async def run_entry(own: configuration.Configuration) -> None:
    """Runs an entry until it has stopped gracefully after SIGTERM or SIGINT."""
    if own.listen is None:
        raise ValueError("an entry needs an address for callers")
    incarnation = secrets.token_hex(8)
    facts = entry_state.EntryFacts(
        own.instance, own.data_centre, incarnation, own.listen.ip, own.listen.port
    )
    seeds = tuple(seed for seed in own.seeds if seed.instance != own.instance)
    core = entry_core.make_entry_core(facts, seeds)
    task = cores.CoreTask(core, TICK_S)
    log = logs.make_event_log(own.instance)

    def write(record: commands.Record) -> None:
        log.write(record, time.time())

    task.set_handler(commands.Record, write)
    identity = links.Identity(
        own.instance, instances.Role.ENTRY, own.data_centre, "", incarnation
    )
    link_task = links.LinkTask(identity, own.cluster_secret, task, write)
    platform = http_store.create_store(own.platform_url)
    store_task = platform_tasks.StoreTask(platform, task, write)
    window = windows.Window()
    at = desk.Desk(
        core=core,
        task=task,
        platform=platform,
        window=window,
        log=log,
        explainer=explanations.Explainer(task),
        is_store_up=lambda: store_task.is_reachable,
    )
    sending = senders.Senders()
    meter = metrics.Meter(window, link_task.measure_traffic)
    server = _make_server(own, core, task, meter, at, sending)
    listing = http_instances.create_instance_list(own.platform_url)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.post, events.DrainRequested())
    background = [
        asyncio.ensure_future(task.run()),
        asyncio.ensure_future(task.run_ticker()),
        asyncio.ensure_future(platform_tasks.poll_instances(listing, task)),
        asyncio.ensure_future(sending.run()),
    ]
    if own.tls is not None:
        background.append(asyncio.ensure_future(_reload_tls(server, own.tls)))
    await link_task.listen(own.link.ip, own.link.port)
    serving = asyncio.ensure_future(server.serve())
    write(commands.Record(catalogue.DAEMON_STARTED, "", "", "entry"))
    await task.wait_for_stop()
    server.should_exit = True
    await serving
    for item in background:
        item.cancel()
    await link_task.close()
    write(commands.Record(catalogue.DAEMON_STOPPED, "", "", "entry"))


async def _reload_tls(server: uvicorn.Server, tls: configuration.Tls) -> None:
    """Loads the certificate again whenever its files change."""
    paths = (pathlib.Path(tls.certificate_file), pathlib.Path(tls.key_file))
    seen = [path.stat().st_mtime for path in paths]
    while True:
        await asyncio.sleep(TLS_PERIOD_S)
        try:
            found = [path.stat().st_mtime for path in paths]
            if found != seen and server.config.ssl is not None:
                server.config.ssl.load_cert_chain(*map(str, paths))
                seen = found
        except (OSError, ssl.SSLError):
            continue


def _make_server(
    own: configuration.Configuration,
    core: entry_core.EntryCore,
    task: cores.CoreTask,
    meter: metrics.Meter,
    at: desk.Desk,
    sending: senders.Senders,
) -> uvicorn.Server:
    settings = core.state.settings
    front = callers.Front(
        instance=own.instance,
        place=own.data_centre,
        core=task,
        boxes=mailboxes.Mailboxes(task),
        meter=meter,
        get_resolver=lambda: settings.resolver,
        senders=sending,
    )
    views = application.Views(
        rank_addresses=core.peers.rank_entries,
        is_ready=lambda: (
            settings.is_ready
            and bool(core.state.agents)
            and core.peers.is_discovery_complete(time.monotonic())
        ),
        has_service=lambda name: (
            settings.tree is not None and name in settings.tree.services
        ),
        address_ttl_ms=int(entry_core.ADDRESS_TTL_S * 1000),
        meter=meter,
    )
    assert own.listen is not None
    tls = own.tls
    return _Server(
        uvicorn.Config(
            application.make_application(front, views, [routes.make_router(at)]),
            host=own.listen.ip,
            port=own.listen.port,
            backlog=BACKLOG,
            lifespan="off",
            log_config=None,
            access_log=False,
            loop="asyncio",
            ws="none",
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=LAST_REQUESTS_S,
            ssl_certfile=tls.certificate_file if tls else None,
            ssl_keyfile=tls.key_file if tls else None,
        )
    )
