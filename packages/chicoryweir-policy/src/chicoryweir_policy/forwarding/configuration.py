"""Configuration of routes, services and workspaces that operators put in force."""

from __future__ import annotations

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What a route's requests allow.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        NON_IDEMPOTENT: A request runs at most once.
        STREAM: The answer is a series of events; see `Route.resumable`.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of a route's requests that goes to a service; `weight` is relative."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of a host whose path starts with a prefix.

    Attributes:
        name: Name of the route.
        host: Host that callers name, in lower case.
        prefix: Start of the path; begins and ends with a slash.
        kind: What its requests allow.
        resumable: Whether a stream may go on at another endpoint.
        timeout_s: Longest time from arrival to the end of the answer, in seconds.
        objective_s: Time within which an answer is on time, in seconds.
        max_gap_s: Longest pause between events that is on time, in seconds; 0 for none.
        priority: Rank of its requests; 0 is the most urgent.
        max_attempts: Most endpoints that one request is sent to.
        public: Whether no key is needed.
        shares: Services that its requests go to.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    resumable: bool
    timeout_s: float
    objective_s: float
    max_gap_s: float
    priority: int
    max_attempts: int
    public: bool
    shares: tuple[ServiceShare, ...]

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """Experts of the model that a group of ranks serves.

    Attributes:
        sets: Sets of layers, each with a map of its own.
        experts: Experts in a set.
        slots_per_rank: Most experts that a rank holds in a set.
        max_copies_per_rank: Most experts of a set that one change may bring to a rank.
        expert_bytes: RequestSize of an expert's weights.
        share: Share of the time for a token that its experts take, 0 to 1.
    """

    sets: int
    experts: int
    slots_per_rank: int
    max_copies_per_rank: int
    expert_bytes: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Speed and room of the model engine at an endpoint.

    Attributes:
        slots: Requests in a batch.
        memory_tokens: Tokens of context that fit in memory.
        step_s: Time of a step without any request, in seconds.
        sequence_s: Time that each request adds to a step, in seconds.
        context_s: Time that each token of context adds to a step, in seconds.
        read_tokens_per_s: Prompt tokens read a second.
        steps_per_event: Steps in a pass, the tokens of one event.
        usual_prompt_tokens: Mean length of a prompt.
        usual_answer_tokens: Mean length of an answer.
        link_bytes_per_s: Rate at which an endpoint copies weights.
        experts: Layout of the experts; None without any.
    """

    slots: int
    memory_tokens: int
    step_s: float
    sequence_s: float
    context_s: float
    read_tokens_per_s: float
    steps_per_event: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    link_bytes_per_s: float
    experts: ExpertLayout | None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that routes send requests to.

    Attributes:
        name: Name of the service.
        max_connections: Connections that an endpoint takes from all callers.
        engine: Its model engine; None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and the keys that belong to it.

    Attributes:
        name: Name of the workspace.
        keys: Keys that its callers present.
        priority: Rank that goes before the route's; None for none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers send.

    Attributes:
        max_header_bytes: RequestSize of a request's head.
        max_body_bytes: RequestSize of a request's body.
        header_timeout_s: Time that a caller takes for the head, in seconds.
        idle_timeout_s: Time that a connection may be idle, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: All services.
        workspaces: All workspaces; None when callers present no keys.
        limits: Bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] | None
    limits: Limits
