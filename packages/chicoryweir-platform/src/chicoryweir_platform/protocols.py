"""Interfaces of the platform's services that the daemons use."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import store
from chicoryweir_policy.membership import instances


class Store(typing.Protocol):
    """The transactional table and the object store."""

    async def run(self, operation: store.Operation) -> store.Result:
        """Runs one operation; failures are returned as results, never raised."""


class InstanceList(typing.Protocol):
    """List of running and leaving instances; it may be out of date."""

    async def list_instances(
        self,
    ) -> tuple[instances.Instance, ...] | store.Refused:
        """Fetches the list; returns `Refused` with the reason on any failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """Weights of `size_bytes` bytes were fetched."""

    name: str
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Throttled:
    """The weight store's queue is full.

    Attributes:
        name: Name of the requested weights.
        retry_after_s: Time to wait before a retry, in seconds.
    """

    name: str
    retry_after_s: float


FetchResult = Fetched | Throttled | store.Refused


class WeightStore(typing.Protocol):
    """Rate-limited store of model weights."""

    async def fetch(self, name: str, size_bytes: int) -> FetchResult:
        """Fetches weights; returns once the rate limiter has released them."""
