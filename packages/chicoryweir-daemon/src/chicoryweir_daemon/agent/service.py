"""The agent daemon: its tasks, from start to graceful stop."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time

from chicoryweir_daemon import configuration
from chicoryweir_daemon import logs
from chicoryweir_daemon.agent import endpoints
from chicoryweir_daemon.agent import ranks
from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import links
from chicoryweir_daemon.runtime import platform_tasks
from chicoryweir_platform import http_store
from chicoryweir_policy import catalogue
from chicoryweir_policy.admission import queue
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_policy.membership import instances

TICK_S = 0.03
QUEUE_LIMIT = 256
INITIAL_TOKENS_PER_S = 500.0


async def run_agent(own: configuration.Configuration) -> None:
    """Runs an agent until it has stopped gracefully after SIGTERM or SIGINT."""
    if own.endpoint is None:
        raise ValueError("an agent needs an endpoint")
    incarnation = secrets.token_hex(8)
    facts = agent_core.AgentConfig(
        own.instance,
        own.data_centre,
        own.service,
        incarnation,
        own.endpoint.slots,
        own.endpoint.group,
        own.endpoint.ranks,
    )
    work = queue.create_fair_queue(QUEUE_LIMIT, INITIAL_TOKENS_PER_S)
    task = cores.CoreTask(agent_core.AgentCore(facts, work), TICK_S)
    log = logs.make_event_log(own.instance)

    def write(record: commands.Record) -> None:
        log.write(record, time.time())

    task.set_handler(commands.Record, write)
    identity = links.Identity(
        own.instance, instances.Role.AGENT, own.data_centre, own.service, incarnation
    )
    link_task = links.LinkTask(identity, own.cluster_secret, task, write)
    platform_tasks.StoreTask(http_store.create_store(own.platform_url), task, write)
    endpoint = endpoints.EndpointTask(own.endpoint, task)
    rank_task = ranks.RankTask(own.endpoint.url, task)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.post, events.DrainRequested())
    background = [
        asyncio.ensure_future(task.run()),
        asyncio.ensure_future(task.run_ticker()),
        asyncio.ensure_future(endpoint.run_probes()),
    ]
    if own.endpoint.kind is configuration.EndpointKind.MODEL:
        background.append(asyncio.ensure_future(endpoint.run_cache_news()))
    await link_task.listen(own.link.ip, own.link.port)
    write(commands.Record(catalogue.DAEMON_STARTED, "", "", "agent"))
    await task.wait_for_stop()
    for item in background:
        item.cancel()
    await link_task.close()
    await endpoint.close()
    await rank_task.close()
    write(commands.Record(catalogue.DAEMON_STOPPED, "", "", "agent"))
