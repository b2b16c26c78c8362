"""State that the parts of an entry's core share."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy.admission import limits
from chicoryweir_policy.admission import overload
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import journal
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import settings as settings_task
from chicoryweir_policy.cores import suspicions
from chicoryweir_policy.cores.entry import lifecycle
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import outliers
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection

Commands = list[commands.Command]
Verify = collections.abc.Callable[[lives.Live, outcomes.Problem, Commands], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryFacts:
    """What an entry knows of itself from its settings file.

    Attributes:
        instance: Its instance.
        place: Its place.
        incarnation: Identifier of this process.
        ip: Address for callers.
        port: Port for callers.
    """

    instance: str
    place: str
    incarnation: str
    ip: str
    port: int


@dataclasses.dataclass(slots=True)
class AgentLink:
    """The link to an agent.

    Attributes:
        instance: The agent.
        session: Session of the link.
        incarnation: Process of the agent.
        service: Service of its endpoint.
        sequence: Attempts submitted on the session.
    """

    instance: str
    session: str
    incarnation: str
    service: str
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class EntryState:
    """Shared state of an entry's core, owned by its one task.

    `relayed` counts the events of answers passed on since it was last reset. `verify`
    may hold a refusal back until more is known.
    """

    facts: EntryFacts
    selector: selection.Selector
    prefixes: prefix.PrefixBook
    loads: loads.LoadBook
    settings: settings_task.SettingsTask
    operations: operations.Operations
    journal: journal.Journal
    limiter: limits.WorkspaceLimiter
    endpoints: lifecycle.EndpointLives = dataclasses.field(
        default_factory=lifecycle.EndpointLives
    )
    detector: outliers.OutlierDetector = dataclasses.field(
        default_factory=outliers.OutlierDetector
    )
    throttle: overload.Throttle = dataclasses.field(default_factory=overload.Throttle)
    suspicions: suspicions.SuspicionTask = dataclasses.field(
        default_factory=suspicions.SuspicionTask
    )
    requests: lives.LiveTable = dataclasses.field(default_factory=lives.LiveTable)
    agents: dict[str, AgentLink] = dataclasses.field(default_factory=dict)
    attempts_made: int = 0
    verify: Verify | None = None
    relayed: int = 0

    def refuse(
        self, live: lives.Live, problem: outcomes.Problem, now: float, out: Commands
    ) -> None:
        """Gives a request its final answer: a problem, or a broken connection."""
        if self.verify is not None and self.verify(live, problem, out):
            return
        request_id = live.request.request_id
        self.requests.remove(live)
        self.end_limited(live, now)
        detail = f"{problem.status} {problem.outcome.value}: {problem.detail}"
        self.journal.note(request_id, now, problem.step, detail)
        if live.abandoned:
            return
        if live.begun:
            out.append(commands.AbortAnswer(request_id, problem))
            number = catalogue.ANSWER_ABORTED
        else:
            out.append(commands.RefuseRequest(request_id, problem))
            number = catalogue.REQUEST_REFUSED
        out.append(commands.Record(number, request_id, problem.peer, detail))

    def end_limited(self, live: lives.Live, now: float) -> None:
        """Tells the limiter that a request it allowed has ended."""
        if live.limited:
            live.limited = False
            self.limiter.record_ended(live.request.workspace, 0.0, now)

    def send(self, link: AgentLink, message: messages.Message, out: Commands) -> None:
        """Sends a message to an agent."""
        out.append(commands.Send(link.instance, link.session, message))

    def list_incarnations(self) -> dict[str, str]:
        """Returns the process of each agent that a link is up to."""
        return {link.instance: link.incarnation for link in self.agents.values()}
