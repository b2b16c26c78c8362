"""What shows that an endpoint is cold, and until when."""

from __future__ import annotations

import dataclasses
import enum
import math

from chicoryweir_policy.forwarding import configuration

# A registration is at most this much older than its arrival: entries read the changes
# after a pause of up to 0.96 s and a wait of up to 0.5 s.
REGISTRATION_AGE_S = 1.5


class Reason(enum.Enum):
    """What shows that an endpoint is cold."""

    REGISTERED = "registration"
    STARTED = "start"
    CRASHED = "crash"
    UNREACHABLE = "unreachable"
    EVACUATION_ENDED = "evacuation ended"
    STATED = "answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """A reason to take an endpoint for cold.

    Attributes:
        reason: What it is.
        at: When it was observed, monotonic seconds.
        stated_s: Time for which the endpoint said that it stays cold, in seconds; None
            for that of its service.
    """

    reason: Reason
    at: float
    stated_s: float | None = None

    def compute_end(self, service: configuration.Service) -> float:
        """Returns the time at which the endpoint is warm again."""
        duration_s = service.cold_start_s if self.stated_s is None else self.stated_s
        return self.at + duration_s


NO_EVIDENCE = Evidence(Reason.REGISTERED, -math.inf, 0.0)


@dataclasses.dataclass(slots=True)
class Known:
    """What is known of an endpoint.

    Attributes:
        registered: Its latest registration.
        event: The latest event after which it is cold.
        answer: The answer by which it is cold for longest.
        confirmed_at: Arrival of the latest registration that is certainly recent.
    """

    registered: Evidence = NO_EVIDENCE
    event: Evidence = NO_EVIDENCE
    answer: Evidence = NO_EVIDENCE
    confirmed_at: float = -math.inf

    @property
    def latest_at(self) -> float:
        """Time of the latest information."""
        return max(self.registered.at, self.event.at, self.answer.at)

    def find_evidence(
        self, service: configuration.Service, evacuation: Evidence
    ) -> Evidence:
        """Returns the evidence by which the endpoint is cold for longest.

        A registration outweighs what was observed before it was written.

        Args:
            service: Service of the endpoint.
            evacuation: The end of the evacuation of its data centre.
        """
        found = self.registered
        for evidence in (self.event, self.answer, evacuation):
            if self.confirmed_at < evidence.at + REGISTRATION_AGE_S:
                found = max(found, evidence, key=lambda e: e.compute_end(service))
        return found
