"""What the daemons ask of the platform."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import store
from chicoryweir_policy.membership import instances


class Store(typing.Protocol):
    """The transactional table and the object store."""

    async def run(self, operation: store.Operation) -> store.Result:
        """Runs one operation; every failure is a result, none is raised."""


class InstanceList(typing.Protocol):
    """The lagging list of live and leaving instances."""

    async def list_instances(
        self,
    ) -> tuple[instances.Instance, ...] | store.Refused:
        """Returns the instances, or why they are not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """The weight store let a fetch pass; `size_bytes` were fetched."""

    name: str
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Throttled:
    """The weight store's queue is full.

    Attributes:
        name: Weights that were asked for.
        retry_after_s: Time after which to ask again.
    """

    name: str
    retry_after_s: float


FetchResult = Fetched | Throttled | store.Refused


class WeightStore(typing.Protocol):
    """The rate-limited store of weights."""

    async def fetch(self, name: str, size_bytes: int) -> FetchResult:
        """Fetches weights; returns once the rate limit has let them pass."""
