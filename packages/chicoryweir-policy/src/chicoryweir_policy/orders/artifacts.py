"""What an endpoint can hold, and the orders that change it."""

from __future__ import annotations

import dataclasses
import enum


class Kind(enum.Enum):
    """Kind of an artifact; an endpoint has room for so many of each kind."""

    MODEL = "model"
    ADAPTER = "adapter"
    ROLE = "role"


class Action(enum.Enum):
    """What an order asks for; a role is replaced, never unloaded."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Artifact:
    """A model, an adapter or a role; another version is another artifact.

    Attributes:
        kind: Value of its `Kind`.
        name: Name, with the version where there is one.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeldArtifact:
    """An artifact at an endpoint.

    Attributes:
        artifact: The artifact.
        since: When it was loaded, or when its loading was ordered, in seconds.
    """

    artifact: Artifact
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the planner sees it.

    Attributes:
        instance: Name.
        incarnation: Process of the endpoint.
        place: Data centre.
        serving: Whether it answers and is not leaving.
        held: What it holds, or is loading.
    """

    instance: str
    incarnation: str
    place: str
    serving: bool
    held: tuple[HeldArtifact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint.

    Attributes:
        fence: Fencing number of the lease under which it was given.
        sequence: Number of the order under this lease; it only grows.
        instance: Endpoint that it is for.
        incarnation: Process of the endpoint that it is for.
        action: What to do.
        artifact: With what.
    """

    fence: int
    sequence: int
    instance: str
    incarnation: str
    action: Action
    artifact: Artifact

    @property
    def order_id(self) -> str:
        """Identifier of the order, unique in the fleet."""
        return f"{self.fence}/{self.sequence}"
