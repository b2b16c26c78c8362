"""Decides at an agent whether a request may start beside those that run."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The request may start now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """The request waits until the suspect that runs here has ended.

    Attributes:
        running: Attempt of that suspect.
    """

    running: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """The request does not run on this endpoint.

    Attributes:
        verdict: Why; a suspect may run on another instance.
    """

    verdict: records.Suspected | records.Quarantined


Decision = Start | Hold | Reject


class Isolation:
    """Requests that run on one endpoint; at most one known suspect among them."""

    def __init__(self, tracker: suspicion.SuspicionTracker, instance: str) -> None:
        self._tracker = tracker
        self._instance = instance
        self._running: dict[str, int] = {}

    def decide_start(self, fingerprint: int, marked: bool, now: float) -> Decision:
        """Decides whether a request may start now.

        Args:
            fingerprint: Fingerprint of the request.
            marked: Whether its entry knew that it is suspected, and so sent it to
                the one endpoint where suspects with this content are tried.
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
                if not marked or self._instance in verdict.lost_on:
                    return Reject(verdict)
                running = self._find_suspect(now)
                return Start() if running is None else Hold(running)
            case _:
                typing.assert_never(verdict)

    def record_started(self, attempt_id: str, fingerprint: int) -> None:
        """Records that an attempt was sent to the endpoint."""
        self._running[attempt_id] = fingerprint

    def record_ended(self, attempt_id: str, ran_to_end: bool, now: float) -> None:
        """Records that an attempt no longer runs.

        Args:
            attempt_id: The attempt.
            ran_to_end: Whether it was answered in full, which clears it; false when
                it failed or was cancelled.
            now: Present time, monotonic seconds.
        """
        fingerprint = self._running.pop(attempt_id, None)
        if fingerprint is not None and ran_to_end:
            self._tracker.record_finished(fingerprint, now)

    def discard(self, attempt_id: str) -> None:
        """Records that an attempt no longer runs, whatever its end."""
        self._running.pop(attempt_id, None)

    def record_endpoint_lost(self, incarnation: str, now: float) -> None:
        """Records that the endpoint was lost; nothing runs on it any more."""
        fingerprints = frozenset(self._running.values())
        self._running.clear()
        if fingerprints:
            self._tracker.record_loss(self._instance, incarnation, fingerprints, now)

    def _find_suspect(self, now: float) -> str | None:
        for attempt_id, fingerprint in self._running.items():
            verdict = self._tracker.get_verdict(fingerprint, now)
            if not isinstance(verdict, records.Unsuspected):
                return attempt_id
        return None
