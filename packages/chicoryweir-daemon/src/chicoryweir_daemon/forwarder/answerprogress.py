"""Records the arrival of an answer's parts, over all attempts of a request."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import stalls

# An answer proves the parts of its prompt when a piece of it arrives at least this much
# later than the one before; closer ones may be pieces of one event. An engine's step
# takes some milliseconds.
MIN_STEP_S = 0.004


class AnswerProgress:
    """Arrival times of the answer to one request.

    Its methods are the callbacks of an attempt: they run for each streamed event.

    Attributes:
        prompt_parts: Names of the shared parts of the request's prompt.
        is_proven: Whether the latest attempt has proved these parts.
        attempt_started_at: Start of the latest attempt.
        last_received_at: Time at which the latest part arrived; None before the first.
        first_part_s: Time from the request's arrival to the first part, in seconds;
            None before it.
        longest_gap_s: Longest time between two parts, in seconds.
    """

    __slots__ = (
        "_arrived_at",
        "_fleet",
        "_route",
        "_service",
        "attempt_started_at",
        "first_part_s",
        "is_proven",
        "last_received_at",
        "longest_gap_s",
        "prompt_parts",
    )

    def __init__(
        self,
        fleet: fleets.Fleet,
        service: configuration.Service,
        route: configuration.Route,
        prompt_parts: tuple[str, ...],
        arrived_at: float,
    ) -> None:
        self._fleet = fleet
        self._service = service
        self._route = route
        self._arrived_at = arrived_at
        self.prompt_parts = prompt_parts
        self.is_proven = False
        self.attempt_started_at = arrived_at
        self.last_received_at: float | None = None
        self.first_part_s: float | None = None
        self.longest_gap_s = 0.0

    @property
    def unproven_parts(self) -> tuple[str, ...]:
        """Prompt parts that the answer of the latest attempt has not proved."""
        return () if self.is_proven else self.prompt_parts

    def begin_attempt(self, now: float) -> None:
        """Records the start of an attempt, whose answer has proved nothing yet."""
        self.attempt_started_at = now
        self.is_proven = False

    def record_part(self, gap_s: float) -> None:
        """Records that part of the answer arrived.

        Args:
            gap_s: Time since the previous part of this attempt, in seconds; 0 for the
                first part.
        """
        now = self._fleet.clock.read()
        if self.last_received_at is None:
            self.first_part_s = now - self._arrived_at
            dispatcher = self._fleet.get_dispatcher(self._service.name)
            dispatcher.record_first_part(now - self.attempt_started_at)
        else:
            caller_gap_s = now - self.last_received_at
            self.longest_gap_s = max(self.longest_gap_s, caller_gap_s)
        self.last_received_at = now
        self._fleet.progress_at[self._service.name] = now
        if gap_s >= MIN_STEP_S and not self.is_proven:
            self.prove_parts(now)
        if gap_s and self._route.max_gap_s:
            dispatcher = self._fleet.get_dispatcher(self._service.name)
            dispatcher.record_gap(self._service, gap_s, self._route.max_gap_s, now)

    def prove_parts(self, now: float) -> None:
        """Records that an endpoint ran the prompt without a crash."""
        self.is_proven = True
        self._fleet.crashes.parts.record_proof(self.prompt_parts, now)

    def compute_stall_timeout(self, attempt: attempts.Attempt) -> float:
        """Returns how much longer an attempt may wait for its answer, in seconds."""
        now = self._fleet.clock.read()
        return stalls.compute_stall_timeout(
            self._route,
            attempt.first_part_at is not None,
            now - attempt.last_progress_at,
            now - self._fleet.progress_at[self._service.name],
        )
