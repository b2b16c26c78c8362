"""Isolation of suspected requests: an endpoint runs at most one at a time."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The request may start now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request must wait until the running suspect has ended.

    Attributes:
        running_attempt_id: Attempt of the running suspect.
    """

    running_attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """The request must not run on this endpoint.

    Attributes:
        verdict: Why it is rejected. A suspected request may run on another instance, a
            quarantined one on none.
    """

    verdict: records.Suspected | records.Quarantined


Decision = Start | Wait | Reject


class Isolation:
    """Tracks the running requests of one endpoint and admits one suspect at a time."""

    def __init__(self, tracker: suspicion.SuspicionTracker, instance: str) -> None:
        self._tracker = tracker
        self._instance = instance
        self._running: dict[str, int] = {}

    def decide_start(
        self, fingerprint: int, sent_as_suspect: bool, now: float
    ) -> Decision:
        """Decides whether a request may start now.

        Args:
            fingerprint: Fingerprint of the request.
            sent_as_suspect: Whether the entry already suspected the request when it
                selected this endpoint.
            now: Present time, monotonic seconds.
        """
        verdict = self._tracker.get_verdict(fingerprint, now)
        match verdict:
            case records.Unsuspected():
                lost_on = self._tracker.list_lost_instances(fingerprint)
                if self._instance in lost_on:
                    return Reject(records.Suspected(lost_on, now))
                return Start()
            case records.Quarantined():
                return Reject(verdict)
            case records.Suspected():
                if not sent_as_suspect or self._instance in verdict.lost_on:
                    return Reject(verdict)
                attempt_id = self._find_running_suspect(now)
                return Start() if attempt_id is None else Wait(attempt_id)
            case _:
                typing.assert_never(verdict)

    def record_started(self, attempt_id: str, fingerprint: int) -> None:
        """Records that an attempt was sent to the endpoint."""
        self._running[attempt_id] = fingerprint

    def record_ended(self, attempt_id: str, finished: bool, now: float) -> None:
        """Records that an attempt ended.

        Args:
            attempt_id: Identifier of the attempt.
            finished: Whether it was answered in full, which clears the request. False
                if it failed or was cancelled.
            now: Present time, monotonic seconds.
        """
        fingerprint = self._running.pop(attempt_id, None)
        if fingerprint is not None and finished:
            self._tracker.record_finished(fingerprint, now)

    def discard(self, attempt_id: str) -> None:
        """Removes an attempt without recording how it ended."""
        self._running.pop(attempt_id, None)

    def record_endpoint_lost(self, incarnation: str, now: float) -> None:
        """Records the loss of the endpoint and of all requests running on it."""
        fingerprints = frozenset(self._running.values())
        self._running.clear()
        if fingerprints:
            self._tracker.record_loss(self._instance, incarnation, fingerprints, now)

    def _find_running_suspect(self, now: float) -> str | None:
        for attempt_id, fingerprint in self._running.items():
            verdict = self._tracker.get_verdict(fingerprint, now)
            if not isinstance(verdict, records.Unsuspected):
                return attempt_id
        return None
