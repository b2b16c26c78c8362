"""State shared by the parts of an entry's core."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy.admission import limits
from chicoryweir_policy.admission import overload
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import request_log
from chicoryweir_policy.cores import settings as core_settings
from chicoryweir_policy.cores import suspicions
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import endpoint_states
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import outliers
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection

Commands = list[commands.Command]
Verify = collections.abc.Callable[
    [active_requests.ActiveRequest, outcomes.Problem, Commands], bool
]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryConfig:
    """Configuration of an entry from its settings file, and its process identifier.

    Attributes:
        instance: Instance name.
        data_centre: Data centre.
        incarnation: Identifier of the entry's process.
        ip: IP address at which callers connect.
        port: Port at which callers connect.
    """

    instance: str
    data_centre: str
    incarnation: str
    ip: str
    port: int


@dataclasses.dataclass(slots=True)
class AgentLink:
    """Open link to an agent.

    Attributes:
        instance: Instance name of the agent.
        session_id: Session identifier of the link.
        incarnation: Identifier of the agent's process.
        service: Service of the agent's endpoint.
        last_sequence: Sequence number of the last attempt submitted on the session.
    """

    instance: str
    session_id: str
    incarnation: str
    service: str
    last_sequence: int = 0


@dataclasses.dataclass(slots=True)
class EntryState:
    """State shared by the parts of an entry's core, which runs in a single task.

    Attributes:
        attempts_created: Number of attempts created so far; part of the attempt
            identifiers.
        verify: Function that starts the verification of a problem's outcome if one
            is needed, and returns whether it did.
        events_relayed: Number of answer events received since `RelayWindow` last
            measured their rate.
    """

    config: EntryConfig
    selector: selection.Selector
    prefixes: prefix.PrefixIndex
    loads: loads.LoadTracker
    settings: core_settings.SettingsManager
    operations: operations.PendingOperations
    request_log: request_log.RequestLog
    limiter: limits.WorkspaceLimiter
    endpoints: endpoint_states.EndpointStates = dataclasses.field(
        default_factory=endpoint_states.EndpointStates
    )
    outlier_detector: outliers.OutlierDetector = dataclasses.field(
        default_factory=outliers.OutlierDetector
    )
    throttle: overload.Throttle = dataclasses.field(default_factory=overload.Throttle)
    suspicions: suspicions.SuspicionExchange = dataclasses.field(
        default_factory=suspicions.SuspicionExchange
    )
    requests: active_requests.ActiveRequestTable = dataclasses.field(
        default_factory=active_requests.ActiveRequestTable
    )
    agent_links: dict[str, AgentLink] = dataclasses.field(default_factory=dict)
    attempts_created: int = 0
    verify: Verify | None = None
    events_relayed: int = 0

    def end_with_problem(
        self,
        active: active_requests.ActiveRequest,
        problem: outcomes.Problem,
        now: float,
        out: Commands,
    ) -> None:
        """Ends a request with a problem, unless the problem must be verified first.

        If the answer has begun, it is aborted; otherwise, the problem is the answer.
        """
        if self.verify is not None and self.verify(active, problem, out):
            return
        request_id = active.request.request_id
        self.requests.remove(active)
        self.release_limit(active, now)
        detail = f"{problem.status} {problem.outcome.value}: {problem.detail}"
        self.request_log.add_note(request_id, now, problem.step, detail)
        if active.abandoned:
            return
        if active.answer_begun:
            out.append(commands.AbortAnswer(request_id, problem))
            event_number = catalogue.ANSWER_ABORTED
        else:
            out.append(commands.RejectRequest(request_id, problem))
            event_number = catalogue.REQUEST_REFUSED
        out.append(commands.LogEvent(event_number, request_id, problem.peer, detail))

    def release_limit(self, active: active_requests.ActiveRequest, now: float) -> None:
        """Stops counting the request towards the limits of its workspace."""
        if active.limited:
            active.limited = False
            self.limiter.record_ended(active.request.workspace, 0.0, now)

    def send(self, link: AgentLink, message: messages.Message, out: Commands) -> None:
        """Sends a message to an agent."""
        out.append(commands.Send(link.instance, link.session_id, message))

    def list_incarnations(self) -> dict[str, str]:
        """Returns the incarnation of each linked agent, by instance name."""
        return {link.instance: link.incarnation for link in self.agent_links.values()}
