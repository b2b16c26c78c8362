"""Runs the agent daemon from its start to its graceful stop."""

from __future__ import annotations

import asyncio
import secrets
import time

from chicoryweir_daemon import configuration
from chicoryweir_daemon import logs
from chicoryweir_daemon.agent import endpoints
from chicoryweir_daemon.agent import group_orders
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import links
from chicoryweir_daemon.runtime import platform_tasks
from chicoryweir_daemon.runtime import stopping
from chicoryweir_platform import http_store
from chicoryweir_policy import catalogue
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_policy.membership import instances

TICK_S = 0.03
MAX_QUEUED_ATTEMPTS = 256
INITIAL_TOKENS_PER_S = 500.0


async def run_agent(
    config: configuration.Configuration, requests: eventloop.Requests
) -> None:
    """Runs an agent until a stop request and the graceful stop that follows.

    Args:
        config: Configuration.
        requests: Requests to this process.

    Raises:
        ValueError: The configuration has no endpoint.
    """
    if config.endpoint is None:
        raise ValueError("the configuration of an agent must set `endpoint`")
    incarnation = secrets.token_hex(8)
    agent_config = agent_core.AgentConfig(
        config.instance,
        config.data_centre,
        config.service,
        incarnation,
        config.endpoint.slots,
        config.endpoint.group,
        config.endpoint.ranks,
    )
    attempt_queue = fair_queue.create_fair_queue(
        MAX_QUEUED_ATTEMPTS, INITIAL_TOKENS_PER_S
    )
    core_task = cores.CoreTask(
        agent_core.AgentCore(agent_config, attempt_queue), TICK_S
    )
    log = logs.make_event_log(config.instance)

    def write_record(record: commands.LogEvent) -> None:
        log.write(record, time.time())

    core_task.set_handler(commands.LogEvent, write_record)
    identity = links.Identity(
        config.instance,
        instances.Role.AGENT,
        config.data_centre,
        config.service,
        incarnation,
    )
    link_task = links.LinkTask(identity, config.cluster_secret, core_task, write_record)
    platform_tasks.StoreTask(
        http_store.create_store(config.platform_url), core_task, write_record
    )
    endpoint_task = endpoints.EndpointTask(
        config.endpoint, core_task, link_task.await_room
    )
    group_order_task = group_orders.GroupOrderTask(config.endpoint.url, core_task)
    core_run = asyncio.ensure_future(core_task.run())
    background = [
        core_run,
        asyncio.ensure_future(core_task.run_ticker()),
        asyncio.ensure_future(endpoint_task.run_probes()),
    ]
    if config.endpoint.kind is configuration.EndpointKind.MODEL:
        background.append(asyncio.ensure_future(endpoint_task.run_cache_polls()))
    if await startup.open_listener(
        lambda: link_task.listen(config.link.ip, config.link.port),
        f"{config.link.ip}:{config.link.port}",
        requests.stop,
        eventlog.EventLog(config.instance),
    ):
        write_record(commands.LogEvent(catalogue.DAEMON_STARTED, "", "", "agent"))
        await stopping.await_stop(core_task, requests.stop, [core_run])
    for background_task in background:
        background_task.cancel()
    await link_task.close()
    await endpoint_task.close()
    await group_order_task.close()
    write_record(commands.LogEvent(catalogue.DAEMON_STOPPED, "", "", "agent"))
