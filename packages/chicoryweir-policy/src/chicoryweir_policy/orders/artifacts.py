"""Artifacts that endpoints hold, and the orders to load or unload them."""

from __future__ import annotations

import dataclasses
import enum


class Kind(enum.Enum):
    """Kind of an artifact; the number per endpoint is limited for each kind."""

    MODEL = "model"
    ADAPTER = "adapter"
    ROLE = "role"


class Action(enum.Enum):
    """Action of an order; a role is replaced by a load and never unloaded."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Artifact:
    """A model, an adapter or a role; each version is an artifact of its own.

    Attributes:
        kind: Value of its `Kind`.
        name: Name, including the version if it has one.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeldArtifact:
    """An artifact that an endpoint holds or is loading.

    Attributes:
        artifact: The artifact.
        since: When it was first reported, or when its load was ordered, in seconds.
    """

    artifact: Artifact
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as input of the allocation.

    Attributes:
        instance: Name of the instance.
        incarnation: Identifier of the endpoint's process.
        data_centre: Name of its data centre.
        serving: Whether it answers and isn't leaving.
        held: Artifacts that it holds or is loading.
    """

    instance: str
    incarnation: str
    data_centre: str
    serving: bool
    held: tuple[HeldArtifact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint.

    Attributes:
        fence: Fencing token of the lease under which it was issued.
        sequence: Number of the order under this lease; strictly increasing.
        instance: Instance of the target endpoint.
        incarnation: Process of the target endpoint.
        action: Action to execute.
        artifact: Artifact to load or unload.
    """

    fence: int
    sequence: int
    instance: str
    incarnation: str
    action: Action
    artifact: Artifact

    @property
    def order_id(self) -> str:
        """Fleet-wide unique identifier of the order."""
        return f"{self.fence}/{self.sequence}"
