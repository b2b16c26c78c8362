"""HTTP client of the platform's table and objects."""

from __future__ import annotations

import typing
import urllib.parse

import httpx

from chicoryweir_platform import bounded_http
from chicoryweir_platform import decoding
from chicoryweir_policy import store
from chicoryweir_policy.settings import documents

# Errors that prove that the operation did not reach the platform.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
_UNAVAILABLE_STATUSES = (429, 503)
# Maximum size of an object; settings are the largest.
MAX_OBJECT_BYTES = documents.MAX_TEXT_BYTES


class HttpStore:
    """Runs store operations through the platform's HTTP API."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates a client; the base URL of `client` must be the platform's."""
        self._client = client

    async def run(self, operation: store.Operation) -> store.Result:
        """Runs one operation; failures are returned as results, never raised."""
        match operation:
            case store.Read():
                return await self._read("/table/read", {"keys": list(operation.keys)})
            case store.Scan():
                return await self._read(
                    "/table/scan",
                    {
                        "prefix": operation.prefix,
                        "after": operation.after,
                        "limit": operation.limit,
                    },
                )
            case store.Transact():
                return await self._transact(operation)
            case store.PutObject():
                return await self._put(operation)
            case store.GetObject():
                return await self._get(operation)
        typing.assert_never(operation)

    async def _read(self, path: str, body: dict[str, object]) -> store.Result:
        try:
            reply = await bounded_http.request(self._client, "POST", path, json=body)
            if reply.status_code != 200:
                return store.Refused(f"{path}: status {reply.status_code}")
            return store.Rows(decoding.decode_rows(reply.json()))
        except (httpx.HTTPError, ValueError) as error:
            return store.Refused(f"{path}: {error!r}")

    async def _transact(self, operation: store.Transact) -> store.Result:
        path = "/table/transact"
        body = {
            "checks": [
                {"key": check.key, "version": check.version}
                for check in operation.checks
            ],
            "writes": [
                {"key": write.key, "value": write.value} for write in operation.writes
            ],
        }
        try:
            reply = await bounded_http.request(self._client, "POST", path, json=body)
            if reply.status_code == 200:
                return store.Committed(decoding.decode_versions(reply.json()))
            if reply.status_code == 409:
                return store.Conflicted(decoding.decode_rows(reply.json()))
            return _classify_status(path, reply.status_code)
        except (httpx.HTTPError, ValueError) as error:
            return _classify_error(path, error)

    async def _put(self, operation: store.PutObject) -> store.Result:
        path = _make_object_path(operation.name)
        try:
            reply = await bounded_http.request(
                self._client, "PUT", path, content=operation.data
            )
        except httpx.HTTPError as error:
            return _classify_error(path, error)
        if reply.status_code in (200, 201, 204):
            return store.ObjectStored(operation.name)
        return _classify_status(path, reply.status_code)

    async def _get(self, operation: store.GetObject) -> store.Result:
        path = _make_object_path(operation.name)
        try:
            reply = await bounded_http.request(
                self._client, "GET", path, MAX_OBJECT_BYTES
            )
        except httpx.HTTPError as error:
            return store.Refused(f"{path}: {error!r}")
        if reply.status_code == 200:
            return store.ObjectFetched(operation.name, reply.content)
        if reply.status_code == 404:
            return store.ObjectFetched(operation.name, None)
        return store.Refused(f"{path}: status {reply.status_code}")


def create_store(platform_url: str, timeout_s: float = 2.0) -> HttpStore:
    """Creates a store client for the platform at `platform_url`."""
    timeout = httpx.Timeout(timeout_s)
    return HttpStore(httpx.AsyncClient(base_url=platform_url, timeout=timeout))


def _make_object_path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="/")


def _classify_status(path: str, status: int) -> store.Refused | store.Unknown:
    detail = f"{path}: status {status}"
    if status in _UNAVAILABLE_STATUSES or 400 <= status < 500:
        return store.Refused(detail)
    return store.Unknown(detail)


def _classify_error(path: str, error: Exception) -> store.Refused | store.Unknown:
    detail = f"{path}: {error!r}"
    if isinstance(error, _NOT_SENT_ERRORS):
        return store.Refused(detail)
    return store.Unknown(detail)
