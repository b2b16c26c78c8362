"""Tests of rows of other writers, which must not stop an entry or mislead it."""

import json

import fleetstandins
import pytest

from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.http1 import connections
from chicoryweir_policy import store as stores
from chicoryweir_policy.forwarding import endpoints
from fleet_platform import decoding
from fleet_platform import store as rowstores

REGISTRATION = {
    "service": "svc",
    "address": "127.0.0.5:80",
    "zone": "telavi",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 1,
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "size": 2,
}


def _nest(depth):
    return b"[" * depth + b"]" * depth


def _change(**changes):
    return json.dumps(REGISTRATION | changes).encode()


def _change_group(**changes):
    return _change(group=REGISTRATION["group"] | changes)


ODD_ROWS = {
    "no bytes": b"",
    "not UTF-8": b"\xff\xfe",
    "a list": b"[]",
    "nested in an unread field": _change()[:-1] + b',"models":' + _nest(1200) + b"}",
    "nested in a read field": b'{"slots":' + _nest(30_000) + b"}",
    "nested whole": _nest(32_000),
    "a port in superscript": _change(address="127.0.0.5:\u00b2"),
    "a port out of range": _change(address="127.0.0.5:65536"),
    "port 0": _change(address="127.0.0.5:0"),
    "a port with many digits": _change(address="127.0.0.5:" + "9" * 5000),
    "no host": _change(address=":80"),
    "a host name": _change(address="worker.example:80"),
    "a host with a null": _change(address="127.0.0.5\x00:80"),
    "a host with a scope": _change(address="fe80::1%\r\nx:80"),
    "a broadcast host": _change(address="224.0.0.1:80"),
    "an odd state": _change(state="sleeping"),
    "no slots": _change(slots=0),
    "too many slots": _change(slots=10**15),
    "slots past any integer": b'{"slots":' + b"9" * 5000 + b"}",
    "a negative warm-up": _change(cold_left_ms=-1),
    "a warm-up for ever": _change(cold_left_ms=1e300),
    "a warm-up past any float": _change()[:-1] + b',"cold_left_ms":1e999}',
    "a negative start": _change(born=-1),
    "a start past any clock": _change(born=10**30),
    "a negative epoch": _change_group(epoch=-1),
    "a rank below the first": _change_group(rank=-1),
    "a rank past the last": _change_group(rank=2),
    "a size past any group": _change(size=10**12),
    "a size of another type": _change(size="2"),
    "a nameless group": _change_group(name=""),
    "a nameless service": _change(service=""),
}
ODD_NAMES = ("i-1\r\nChicoryweir-Tenant: w", "", "i 1", "i-\x00", "i" * 300)


# Guards against an entry that ends, or stops following the endpoints, on one odd row.
@pytest.mark.parametrize("data", ODD_ROWS.values(), ids=ODD_ROWS)
def test_odd_registration_names_no_endpoint(data):
    change = decoding.decode_registration("i-1", data)
    assert isinstance(change, endpoints.Removed)
    assert 0 < len(change.reason) < 500


# Guards against a row whose key adds a header to the requests for its endpoint.
@pytest.mark.parametrize("name", ODD_NAMES)
def test_registration_with_an_odd_name_names_no_endpoint(name):
    change = decoding.decode_registration(name, _change())
    assert isinstance(change, endpoints.Removed)


def test_sound_registration_names_its_endpoint():
    change = decoding.decode_registration("i-1", _change())
    assert isinstance(change, endpoints.Registered)


# Guards against an entry that ends, or stops following the endpoints, on one odd row.
@pytest.mark.parametrize("listed", [True, False], ids=["listed", "changed"])
async def test_entry_follows_the_endpoints_beside_odd_rows(start_system, listed):
    async def answer(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt, endpoint.name.encode()))
        await writer.drain()

    system = await start_system(fleetstandins.EndpointStandIn("i-1", answer))
    odd = dict(enumerate(ODD_ROWS.values()))
    for number, data in odd.items():
        system.store.put("servers", f"odd-{number}", data)
    if listed:
        system.store.drop_history()
    late = fleetstandins.EndpointStandIn("i-2", answer)
    server = await late.start()
    system.store.put("servers", "i-2", late.build_registration())
    system.store.delete("servers", "i-1")
    table = system.entry._fleet.endpoints
    await fleetstandins.wait_until(
        lambda: [e.instance for e in table.list_all()] == ["i-2"]
    )
    assert not system.task.done()
    status, _, body, _ = await system.call("/again/x")
    assert (status, body) == (200, b"i-2")
    server.close()


ODD_LEASES = [
    b"",
    b"[]",
    b"7",
    b'{"holder": "a"}',
    b'{"holder": 7, "fence": 1}',
    b'{"holder": "a", "fence": "1"}',
    b'{"holder": "a", "fence": -1}',
    b'{"holder": "a", "fence": 1e999}',
    b'{"holder": "a", "fence": ' + b"9" * 25 + b"}",
    _nest(30_000),
]


# Guards against an odd row of the lease that ends the task of the lease.
@pytest.mark.parametrize("data", ODD_LEASES)
async def test_odd_row_of_the_lease_is_refused(data):
    standin = fleetstandins.StoreStandIn()
    server = await standin.start()
    standin.put("leases", "expert-maps", data)
    client = rowstores.RowStore(
        connections.Pool(), process.Listener("127.0.0.1", standin.port)
    )
    result = await client.run(stores.Read(("expert-maps",)))
    assert isinstance(result, stores.Refused)
    write = stores.Write("expert-maps", {"holder": "a", "fence": 1})
    check = stores.Check("expert-maps", 99)
    result = await client.run(stores.Transact((check,), (write,)))
    assert isinstance(result, stores.Refused | stores.Unknown)
    server.close()


@pytest.mark.parametrize(
    "host", [b"", b"\xff", b"front.example", b"::1", b"10.0.0.1\x00", b"224.0.0.1"]
)
async def test_odd_row_of_an_entry_names_no_host(host):
    standin = fleetstandins.StoreStandIn()
    server = await standin.start()
    standin.put("entries", "front-1", host)
    standin.put("entries", "front-2", b"10.0.0.2")
    client = rowstores.RowStore(
        connections.Pool(), process.Listener("127.0.0.1", standin.port)
    )
    assert await client.list_entries() == ("10.0.0.2",)
    server.close()


# Guards against an answer of the store that can't be decoded and ends a task.
@pytest.mark.parametrize(
    ("era", "body"),
    [
        (b"9" * 5000, b'{"rows":[],"ver":1}'),
        (b"1", b'{"rows":' + _nest(30_000) + b',"ver":1}'),
        (b"1", b'{"rows":[],"ver":' + b"9" * 5000 + b"}"),
        (b"1", b"\xff"),
    ],
)
async def test_odd_answer_of_the_store_is_no_failure_of_the_entry(era, body):
    async def answer(endpoint, headers, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nStore-Era: %s\r\nContent-Length: %d\r\n\r\n"
            % (era, len(body))
        )
        writer.write(body)
        await writer.drain()

    standin = fleetstandins.EndpointStandIn("store", answer)
    server = await standin.start()
    client = rowstores.RowStore(
        connections.Pool(), process.Listener("127.0.0.1", standin.port)
    )
    await client.list_endpoints()
    await client.read_configuration()
    await client.run(stores.Read(("expert-maps",)))
    server.close()
