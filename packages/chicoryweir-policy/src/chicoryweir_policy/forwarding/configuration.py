"""Configuration of routes, services and workspaces, as applied by operators."""

from __future__ import annotations

import dataclasses
import enum


class RouteKind(enum.Enum):
    """How often a route's requests may run, and the form of the answer.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        NON_IDEMPOTENT: A request runs at most once.
        STREAM: The answer is a stream of events; see `Route.resumable`.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets part of a route's requests, by relative weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host whose path starts with a prefix.

    Attributes:
        name: Name of the route.
        host: Host name in the request, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may run more than once, and the form of the answer.
        resumable: Whether a broken stream may be resumed at another endpoint.
        timeout_s: Maximum time from arrival to the end of the answer, in seconds.
        objective_s: Latency objective: time to the first part of the answer, in
            seconds.
        max_gap_s: Longest gap between two events that is on time, in seconds; 0 for
            no limit.
        priority: Priority of its requests; 0 is the most urgent.
        max_attempts: Maximum number of endpoints that one request is sent to.
        public: Whether requests need no key.
        shares: Services that its requests are split between.
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
    """Expert layout of the model that a group of ranks serves.

    Attributes:
        sets: Number of layer sets, each with its own expert map.
        experts: Number of experts in a set.
        slots_per_rank: Maximum number of experts of a set on one rank.
        max_copies_per_rank: Maximum number of experts of a set that one map change may
            copy to a rank.
        expert_bytes: Size of an expert's weights, in bytes.
        share: Share of the time per token that is spent in experts, 0 to 1.
    """

    sets: int
    experts: int
    slots_per_rank: int
    max_copies_per_rank: int
    expert_bytes: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Speed and capacity of the model engine at an endpoint.

    Attributes:
        slots: Maximum number of requests in a batch.
        memory_tokens: Maximum number of context tokens in memory.
        step_s: Time of a step with an empty batch, in seconds.
        sequence_s: Step time added by each request, in seconds.
        context_s: Step time added by each context token, in seconds.
        read_tokens_per_s: Prefill speed, in prompt tokens per second.
        steps_per_event: Steps between two events of a stream; an event carries the
            token of each step.
        usual_prompt_tokens: Mean prompt length, in tokens.
        usual_answer_tokens: Mean answer length, in tokens.
        link_bytes_per_s: Speed at which an endpoint copies weights.
        experts: Expert layout; None for a model without experts.
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
        max_connections: Maximum number of connections to one endpoint from all callers.
        engine: Model engine of its endpoints; None for a plain service.
        cold_start_s: Time for which an endpoint is slow after its start, in seconds.
        cold_rate: Requests per second that a cold endpoint accepts from all entries
            together; 0 for any number.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_start_s: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its API keys.

    Attributes:
        name: Name of the workspace.
        keys: API keys of its callers.
        priority: Priority that overrides the route's; None to keep the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on connections and requests of callers.

    Attributes:
        max_header_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        header_timeout_s: Maximum time to receive the head, in seconds.
        idle_timeout_s: Maximum idle time of a connection, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Version number; increases with each change.
        routes: All routes.
        services: All services.
        workspaces: All workspaces; None if no keys are checked.
        limits: Limits on connections and requests of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] | None
    limits: Limits
