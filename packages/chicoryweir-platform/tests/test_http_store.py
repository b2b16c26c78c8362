"""Tests that the HTTP store client returns every failure as a result."""

import collections.abc

import httpx
import pytest

from chicoryweir_platform import http_store
from chicoryweir_policy import store

TRANSACT = store.Transact((store.Check("a", 0),), (store.Write("a", {"n": 1}),))
READ = store.Read(("a",))
PUT = store.PutObject("settings/1", b"{}")

Handler = collections.abc.Callable[[httpx.Request], httpx.Response]


def create_client(handler: Handler) -> http_store.HttpStore:
    transport = httpx.MockTransport(handler)
    client = httpx.AsyncClient(transport=transport, base_url="http://platform")
    return http_store.HttpStore(client)


def create_failing_client(error: type[httpx.TransportError]) -> http_store.HttpStore:
    def fail(request: httpx.Request) -> httpx.Response:
        raise error("broken", request=request)

    return create_client(fail)


async def test_committed_transaction_returns_versions() -> None:
    client = create_client(lambda _: httpx.Response(200, json={"versions": {"a": 7}}))
    assert await client.run(TRANSACT) == store.Committed({"a": 7})


async def test_failed_check_returns_the_rows() -> None:
    row = {"key": "a", "version": 3, "value": None}
    client = create_client(lambda _: httpx.Response(409, json={"rows": [row]}))
    assert await client.run(TRANSACT) == store.Conflicted((store.Row("a", 3, None),))


@pytest.mark.parametrize(
    "error", [httpx.ReadTimeout, httpx.ReadError, httpx.RemoteProtocolError]
)
@pytest.mark.parametrize("operation", [TRANSACT, PUT])
async def test_lost_reply_to_a_write_is_unknown(
    error: type[httpx.TransportError], operation: store.Operation
) -> None:
    result = await create_failing_client(error).run(operation)
    assert isinstance(result, store.Unknown)


@pytest.mark.parametrize("error", [httpx.ReadTimeout, httpx.ConnectError])
async def test_failed_read_is_refused(error: type[httpx.TransportError]) -> None:
    assert isinstance(await create_failing_client(error).run(READ), store.Refused)


@pytest.mark.parametrize("error", [httpx.ConnectError, httpx.ConnectTimeout])
async def test_unsent_write_is_refused(
    error: type[httpx.TransportError],
) -> None:
    assert isinstance(await create_failing_client(error).run(TRANSACT), store.Refused)


@pytest.mark.parametrize(
    ("status", "kind"), [(503, store.Refused), (500, store.Unknown)]
)
async def test_status_decides_between_refused_and_unknown_write(
    status: int, kind: type[store.Result]
) -> None:
    client = create_client(lambda _: httpx.Response(status))
    assert isinstance(await client.run(TRANSACT), kind)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"versions": 3}'])
async def test_malformed_reply_to_a_write_is_unknown(body: bytes) -> None:
    client = create_client(lambda _: httpx.Response(200, content=body))
    assert isinstance(await client.run(TRANSACT), store.Unknown)
    assert isinstance(await client.run(READ), store.Refused)


async def test_missing_object_is_fetched_as_none() -> None:
    client = create_client(lambda _: httpx.Response(404))
    result = await client.run(store.GetObject("settings/9"))
    assert result == store.ObjectFetched("settings/9", None)
