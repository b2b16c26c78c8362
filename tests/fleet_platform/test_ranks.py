"""Tests of calls to ranks, through an agent and directly."""

import asyncio
import json
import time
import zlib

import fleetstandins
import pytest

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder.mapcontrol import rank_client
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.rankagent import service as rankagent
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.rankmaps import digests
from chicoryweir_policy.rankmaps import orders
from chicoryweir_standins.launch import ports
from fleet_platform import ranks

REPORT = {
    "group": {"name": "g", "epoch": 2, "rank": 0, "state": "open"},
    "step": 7,
    "map": 3,
    "prepared": 4,
    "armed": None,
    "held": None,
    "pace": 1.0,
    "seq": 5,
}
ORDER = orders.Order(orders.Operation.HOLD, token=9, epoch=2, step=20, sequence=5)


class Clock:
    def read(self):
        return time.monotonic()


async def _serve_rank(endpoint, headers, writer):
    line = endpoint.requests[-1][0]
    bodies = {
        "/chicoryweir/report": REPORT,
        "/chicoryweir/picked": {"step": 7, "epoch": 2, "counts": endpoint.counts},
        "/chicoryweir/order": {},
    }
    data = json.dumps(bodies[line.split(" ")[1]]).encode()
    status = endpoint.order_status if "order" in line else 200
    if "order" in line:
        await asyncio.sleep(endpoint.order_time_s)
    writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(data)))
    writer.write(data)
    endpoint.answered += 1
    await writer.drain()


@pytest.fixture
async def rank_setup():
    rank = fleetstandins.EndpointStandIn("i-1", _serve_rank)
    rank.order_status = 202
    rank.order_time_s = 0.0
    rank.answered = 0
    rank.counts = [1, 2]
    server = await rank.start()
    (port,) = ports.pick_ports(1)
    settings = rankagent.Settings(
        "side-1",
        process.Listener("127.0.0.1", port),
        process.Listener("127.0.0.1", rank.port),
        ranks.map_agent_targets(),
        ranks.FORWARDED_HEADERS,
        ranks.RankCodec.counts_target,
        ranks.RankCodec().decode_counts,
    )
    client = rank_client.HttpRankClient(
        connections.Pool(), ranks.RankCodec(), port, Clock(), eventlog.EventLog("a")
    )
    endpoint = endpoints.Endpoint(
        "i-1", "model", "127.0.0.1", rank.port, "dc", 6, False, 0.0, 1
    )
    tasks = []

    async def start_agent():
        source = fleetstandins.FixedSettings(settings)
        requests = eventloop.Requests()
        tasks.append(asyncio.create_task(rankagent.run(source, requests)))
        await fleetstandins.wait_until_listening(settings.listener)
        return requests, tasks[-1]

    yield rank, client, endpoint, start_agent
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    server.close()


async def test_agent_returns_fresh_reports_and_digests_of_counts(rank_setup):
    rank, client, endpoint, start_agent = rank_setup
    await start_agent()
    report = await client.read_report(endpoint)
    assert (report.epoch, report.step, report.prepared) == (2, 7, 4)
    assert report.lag_s == 0.0
    first = await client.read_digest(endpoint, digests.NO_BASE)
    assert (first.epoch, first.interval_s) == (2, None)
    rank.counts = [5, 2]
    second = await client.read_digest(endpoint, first.sequence)
    assert digests.add_digests([second], 2) == [4, 0]
    assert 0.0 < second.interval_s < 5.0


async def test_rank_without_an_agent_is_called_directly_except_for_counts(rank_setup):
    _, client, endpoint, _ = rank_setup
    assert await client.read_report(endpoint) is not None
    assert await client.read_digest(endpoint, digests.NO_BASE) is None
    report = await client.read_report(endpoint)
    assert report.lag_s == rank_client.REMOTE_LAG_S


# A faulty rank's report of some MB is valid, and takes many times as much once decoded.
@pytest.mark.parametrize("has_agent", [True, False])
async def test_report_that_is_far_too_large_is_not_decoded(
    rank_setup, monkeypatch, has_agent
):
    _, client, endpoint, start_agent = rank_setup
    if has_agent:
        await start_agent()
    filler = {f"{number}": number for number in range(200_000)}
    monkeypatch.setitem(REPORT, "armed", filler)
    decoded = []
    decode = ranks.RankCodec.decode_report

    def record(codec, body, lag_s):
        decoded.append(len(body))
        return decode(codec, body, lag_s)

    monkeypatch.setattr(ranks.RankCodec, "decode_report", record)
    assert await client.read_report(endpoint) is None
    assert not decoded


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (200, orders.Result.UNCHANGED),
        (202, orders.Result.ACCEPTED),
        (409, orders.Result.CONFLICT),
        (412, orders.Result.FENCED),
        (421, orders.Result.REFUSED),
    ],
)
async def test_agent_forwards_order_unchanged_and_returns_its_result(
    rank_setup, status, result
):
    rank, client, endpoint, start_agent = rank_setup
    await start_agent()
    rank.order_status = status
    assert await client.send_order(endpoint, ORDER) is result
    _, headers, body = rank.requests[-1]
    assert headers["chicoryweir-expect-instance"] == "i-1"
    assert json.loads(body) == {
        "operation": "hold",
        "fence_token": 9,
        "expected_rev": 5,
        "epoch": 2,
        "step": 20,
    }


# Guards against orders that were cut off by the agent's planned stop.
async def test_stopping_agent_answers_the_order_that_it_has_read(rank_setup):
    rank, client, endpoint, start_agent = rank_setup
    requests, agent = await start_agent()
    rank.order_time_s = 0.06
    call = asyncio.create_task(client.send_order(endpoint, ORDER))
    await fleetstandins.wait_until(lambda: rank.requests)
    requests.stop.set()
    await asyncio.wait_for(agent, 1.0)
    # The end of the agent would cancel what still runs.
    assert rank.answered == 1
    assert await call is orders.Result.ACCEPTED


async def test_large_order_is_compressed_for_the_agent_and_forwarded_whole(rank_setup):
    rank, client, endpoint, start_agent = rank_setup
    await start_agent()
    experts = tuple(tuple((n, n + 1, n + 2) for n in range(192)) for _ in range(10))
    order = orders.Order(orders.Operation.PREPARE, 9, 2, version=5, experts=experts)
    sent = []
    fetch = client._fetch

    async def record(address, method, target, body, headers):
        sent.append(len(body))
        return await fetch(address, method, target, body, headers)

    client._fetch = record
    for _ in range(2):
        assert await client.send_order(endpoint, order) is orders.Result.ACCEPTED
        _, headers, body = rank.requests[-1]
        assert "content-encoding" not in headers
        # An agent of an earlier release can't decompress orders.
        assert await client.read_digest(endpoint, digests.NO_BASE) is not None
    assert sent[0] == len(body)
    assert sent[2] < len(body) / 8
    assert json.loads(body)["map"] == [[list(held) for held in s] for s in experts]


@pytest.mark.parametrize(
    "body", [b"{}", zlib.compress(b"x" * 5_000_000), zlib.compress(b"x" * 99)[:-9]]
)
async def test_bad_compressed_body_is_not_forwarded(rank_setup, body):
    rank, client, _, start_agent = rank_setup
    await start_agent()
    reader, writer = await asyncio.open_connection("127.0.0.1", client._agent_port)
    writer.write(
        b"POST /order HTTP/1.1\r\nHost: h\r\nContent-Encoding: deflate\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    )
    writer.write(body)
    assert (await reader.readline()).split()[1] == b"400"
    writer.close()
    assert not rank.requests


async def test_unanswered_order_is_lost_and_not_sent_twice(rank_setup):
    rank, client, endpoint, start_agent = rank_setup
    await start_agent()

    async def hang(endpoint, headers, writer):
        await asyncio.sleep(5)

    rank.handler = hang
    assert await client.send_order(endpoint, ORDER) is orders.Result.LOST
    assert len(rank.requests) == 1


async def test_order_is_sent_directly_if_no_agent_listens(rank_setup):
    rank, client, endpoint, _ = rank_setup
    assert await client.send_order(endpoint, ORDER) is orders.Result.ACCEPTED
    assert len(rank.requests) == 1


async def test_agent_forwards_no_other_paths(rank_setup):
    rank, client, endpoint, start_agent = rank_setup
    await start_agent()
    reader, writer = await asyncio.open_connection("127.0.0.1", client._agent_port)
    writer.write(b"GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await reader.readline()).split()[1] == b"404"
    writer.close()
    assert not rank.requests


ODD_REPORTS = {
    "a negative step": {"step": -1},
    "an endless step": {"step": 10**30},
    "a negative epoch": {"group": REPORT["group"] | {"epoch": -1}},
    "a slowdown of zero": {"pace": 0.0},
    "an endless slowdown": {"pace": 1e300},
    "a negative version": {"armed": -4},
    "an odd armed version": {"armed": {"version": -4}},
    "a negative load": {"running": -1},
}


# Guards against a rank whose numbers end the control of the maps.
@pytest.mark.parametrize("changes", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_report_with_a_number_out_of_bounds_is_refused(changes):
    with pytest.raises(ValueError, match="."):
        ranks.RankCodec().decode_report(json.dumps(REPORT | changes).encode(), 0.0)


@pytest.mark.parametrize(
    "body",
    [
        b'{"epoch":1,"counts":[-1]}',
        b'{"epoch":1,"counts":[' + b"9" * 25 + b"]}",
        b'{"epoch":1,"counts":' + b"[" * 5000,
        b'{"epoch":-1,"counts":[1]}',
    ],
)
def test_counts_out_of_bounds_are_refused(body):
    with pytest.raises(ValueError, match="."):
        ranks.RankCodec().decode_counts(body)


@pytest.mark.parametrize(
    "body", [b'{"map":{"version":1,"experts":[[-1]]}}', b'{"x":' + b"[" * 5000]
)
def test_experts_out_of_bounds_are_refused(body):
    with pytest.raises(ValueError, match="."):
        ranks.RankCodec().decode_experts(body)
