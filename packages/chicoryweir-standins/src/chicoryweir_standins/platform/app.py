"""HTTP API of the platform's stand-in."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

import litestar
from litestar import datastructures
from litestar import params

from chicoryweir_policy import store
from chicoryweir_standins.platform import faults
from chicoryweir_standins.platform import limits
from chicoryweir_standins.platform import listing
from chicoryweir_standins.platform import table

Json = dict[str, typing.Any]
Request = litestar.Request[typing.Any, typing.Any, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Configuration of the platform's stand-in.

    Attributes:
        ip: Address to listen on.
        port: Port to listen on.
        seed: Seed that selects the lost replies.
        list_lag_s: Age of the instance list that callers see, in seconds.
        reads_per_s: Rate limit of table and object reads.
        writes_per_s: Rate limit of table and object writes.
        weight_bytes_per_s: Transfer rate of the weight store.
        weight_queue_s: Longest wait for the weight store; it rejects a fetch that
            would wait longer.
    """

    ip: str = "127.0.0.1"
    port: int = 18000
    seed: int = 1
    list_lag_s: float = 1.0
    reads_per_s: float = 2000.0
    writes_per_s: float = 500.0
    weight_bytes_per_s: float = 1e9
    weight_queue_s: float = 10.0


class Platform:
    """Table, objects, instance list, faults and rate limits of the stand-in."""

    def __init__(self, config: PlatformConfig) -> None:
        """Creates an empty platform."""
        self.table = table.Table()
        self.objects: dict[str, bytes] = {}
        self.listing = listing.InstanceListing(config.list_lag_s)
        self.faults = faults.Faults()
        self.counts = {"reads": 0, "writes": 0}
        self._reads = limits.TokenBucket(config.reads_per_s, 100.0, 5.0)
        self._writes = limits.TokenBucket(config.writes_per_s, 50.0, 5.0)
        self.weights = limits.TokenBucket(
            config.weight_bytes_per_s, 0.0, config.weight_queue_s
        )

    async def wait_for_read(self) -> None:
        """Counts a read and waits until the rate limit admits it."""
        self.counts["reads"] += 1
        await _wait_for_admission(self._reads)

    async def wait_for_write(self) -> None:
        """Counts a write and waits until the rate limit admits it."""
        self.counts["writes"] += 1
        await _wait_for_admission(self._writes)


class QueueFullError(Exception):
    """The queue of a rate limit is full."""


async def _wait_for_admission(bucket: limits.TokenBucket) -> None:
    wait_s = bucket.reserve(1.0, time.monotonic())
    if wait_s is None:
        raise QueueFullError
    if wait_s > 0:
        await asyncio.sleep(wait_s)


def _encode_rows(rows: tuple[store.Row, ...]) -> Json:
    return {"rows": [dataclasses.asdict(row) for row in rows]}


@litestar.post("/table/read", status_code=200)
async def read_rows(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Reads rows by key."""
    await state.platform.wait_for_read()
    return _encode_rows(state.platform.table.read(tuple(data["keys"])))


@litestar.post("/table/scan", status_code=200)
async def scan_rows(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Reads rows by prefix."""
    await state.platform.wait_for_read()
    rows = state.platform.table.scan(
        data["prefix"], data.get("after", ""), int(data.get("limit", 1000))
    )
    return _encode_rows(rows)


@litestar.post("/table/transact", status_code=200)
async def transact(
    state: datastructures.State, data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Applies a transaction."""
    await state.platform.wait_for_write()
    transaction = store.Transact(
        tuple(store.Check(c["key"], c["version"]) for c in data["checks"]),
        tuple(store.Write(w["key"], w["value"]) for w in data["writes"]),
    )
    result = state.platform.table.transact(transaction)
    if isinstance(result, store.Conflicted):
        return litestar.Response(_encode_rows(result.rows), status_code=409)
    return litestar.Response({"versions": dict(result.versions)}, status_code=200)


@litestar.put("/objects/{name:path}", status_code=200)
async def put_object(
    state: datastructures.State,
    name: params.FromPath[str],
    request: litestar.Request[typing.Any, typing.Any, typing.Any],
) -> litestar.Response[Json]:
    """Stores an immutable object."""
    data = await request.body()
    await state.platform.wait_for_write()
    stored = state.platform.objects.setdefault(name.lstrip("/"), data)
    return litestar.Response({}, status_code=200 if stored == data else 409)


@litestar.get("/objects/{name:path}")
async def get_object(
    state: datastructures.State, name: params.FromPath[str]
) -> litestar.Response[bytes]:
    """Returns an object."""
    await state.platform.wait_for_read()
    data = state.platform.objects.get(name.lstrip("/"))
    return litestar.Response(
        data or b"",
        status_code=404 if data is None else 200,
        media_type="application/octet-stream",
    )


@litestar.delete("/objects/{name:path}", status_code=204)
async def delete_object(
    state: datastructures.State, name: params.FromPath[str]
) -> None:
    """Deletes an object."""
    await state.platform.wait_for_write()
    state.platform.objects.pop(name.lstrip("/"), None)


@litestar.get("/instances")
async def list_instances(state: datastructures.State) -> Json:
    """Returns the instances as they were `list_lag_s` ago."""
    return {"instances": state.platform.listing.list_instances(time.monotonic())}


@litestar.put("/control/instances/{name:str}", status_code=200)
async def put_instance(
    state: datastructures.State, name: params.FromPath[str], data: params.JSONBody[Json]
) -> Json:
    """Adds or replaces an instance."""
    state.platform.listing.put(name, data, time.monotonic())
    return {}


@litestar.delete("/control/instances/{name:str}", status_code=204)
async def delete_instance(
    state: datastructures.State, name: params.FromPath[str]
) -> None:
    """Removes an instance."""
    state.platform.listing.remove(name, time.monotonic())


@litestar.post("/control/faults", status_code=200)
async def set_faults(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Sets the named faults; the others keep their values."""
    for name, value in data.items():
        if name not in ("outage", "delay_ms", "lose_replies"):
            raise litestar.exceptions.ValidationException(f"unknown fault {name}")
        setattr(state.platform.faults, name, value)
    return dataclasses.asdict(state.platform.faults)


@litestar.get("/control/counts")
async def get_counts(state: datastructures.State) -> Json:
    """Returns the numbers of reads and writes received."""
    return dict(state.platform.counts)


@litestar.post("/weights/{name:str}/fetch", status_code=200)
async def fetch_weights(
    state: datastructures.State, name: params.FromPath[str], data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Simulates a fetch at the weight store's transfer rate."""
    now = time.monotonic()
    wait_s = state.platform.weights.reserve(float(data["bytes"]), now)
    if wait_s is None:
        retry_after_s = state.platform.weights.compute_retry_after(now)
        headers = {"Retry-After": f"{retry_after_s:.1f}"}
        return litestar.Response({}, status_code=429, headers=headers)
    await asyncio.sleep(wait_s)
    return litestar.Response({"name": name, "bytes": data["bytes"]}, status_code=200)


def _answer_queue_full(_: typing.Any, __: Exception) -> litestar.Response[Json]:
    return litestar.Response({}, status_code=503)


def create_app(config: PlatformConfig) -> faults.FaultyApp:
    """Creates the application, wrapped in the fault injection."""
    platform = Platform(config)
    app = litestar.Litestar(
        route_handlers=[
            read_rows,
            scan_rows,
            transact,
            put_object,
            get_object,
            delete_object,
            list_instances,
            put_instance,
            delete_instance,
            set_faults,
            get_counts,
            fetch_weights,
        ],
        state=datastructures.State({"platform": platform}),
        exception_handlers={QueueFullError: _answer_queue_full},
        openapi_config=None,
        logging_config=None,
    )
    return faults.FaultyApp(app, platform.faults, config.seed)
