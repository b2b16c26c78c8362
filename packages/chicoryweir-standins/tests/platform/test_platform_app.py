"""Tests of the platform's stand-in through the product's store client."""

import httpx
import pytest

from chicoryweir_platform import http_store
from chicoryweir_policy import store
from chicoryweir_standins.platform import app


@pytest.fixture
def client() -> http_store.HttpStore:
    config = app.PlatformConfig(reads_per_s=1e9, writes_per_s=1e9)
    transport = httpx.ASGITransport(app.create_app(config))
    return http_store.HttpStore(
        httpx.AsyncClient(transport=transport, base_url="http://platform")
    )


def write(key: str, value: store.Json, version: int) -> store.Transact:
    return store.Transact((store.Check(key, version),), (store.Write(key, value),))


async def test_failed_check_applies_no_write(client: http_store.HttpStore) -> None:
    await client.run(write("a", 1, 0))
    transaction = store.Transact(
        (store.Check("a", 0),), (store.Write("a", 2), store.Write("b", 2))
    )
    assert isinstance(await client.run(transaction), store.Conflicted)
    rows = await client.run(store.Read(("a", "b")))
    assert rows == store.Rows((store.Row("a", 1, 1),))


async def test_rewritten_row_gets_a_higher_version(
    client: http_store.HttpStore,
) -> None:
    await client.run(write("a", 1, 0))
    await client.run(write("a", None, 1))
    assert await client.run(write("a", 1, 0)) == store.Committed({"a": 3})


async def test_scan_continues_after_a_key(client: http_store.HttpStore) -> None:
    for key in ("a/1", "a/2", "a/3", "b/1"):
        await client.run(write(key, 0, 0))
    result = await client.run(store.Scan("a/", after="a/1", limit=10))
    assert isinstance(result, store.Rows)
    assert [row.key for row in result.rows] == ["a/2", "a/3"]


async def test_objects_are_immutable(client: http_store.HttpStore) -> None:
    put = store.PutObject("settings/1", b"x")
    assert await client.run(put) == store.ObjectStored("settings/1")
    assert await client.run(put) == store.ObjectStored("settings/1")
    other = await client.run(store.PutObject("settings/1", b"y"))
    assert isinstance(other, store.Refused)
