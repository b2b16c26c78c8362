"""Sheds at the entry what the agents would reject.

Client-side adaptive throttling: an entry sends on a multiple of what was lately
accepted and rejects the rest itself, so that a flood does not take the agents' time.
It counts by workspace and class, so that a flood does not shed the work of others.
"""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import hashing
from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay

HALF_LIFE_S = 4.0
FREE_REQUESTS = 3.0
MAX_KEYS = 8192
BASE_WAIT_S = 1.0
# The more urgent a class, the more of its flood reaches the agents, whose queues know
# the work of all entries and decide better.
MULTIPLES = {
    requests.PriorityClass.URGENT: 2.0,
    requests.PriorityClass.STANDARD: 1.5,
    requests.PriorityClass.BULK: 1.25,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """The request is to be sent to an agent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The request is rejected at the entry and was not run.

    Attributes:
        share: Share of such requests that is shed, 0 to 1.
        retry_after_ms: Time after which coming back helps.
    """

    share: float
    retry_after_ms: int


Decision = Sent | Shed


@dataclasses.dataclass(slots=True, eq=False)
class _Counts:
    """Decayed counts of one workspace and class.

    Attributes:
        asked: Requests that were shed here or settled by an agent.
        accepted: Those of them that an agent ran.
        updated_at: Time to which both have been decayed.
    """

    asked: float
    accepted: float
    updated_at: float

    def decay(self, now: float) -> None:
        """Decays both counts to `now`."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.asked *= factor
        self.accepted *= factor
        self.updated_at = now


class Throttle:
    """Decides at one entry which requests are worth sending."""

    def __init__(self) -> None:
        self._counts: collections.OrderedDict[
            tuple[str, requests.PriorityClass], _Counts
        ] = collections.OrderedDict()

    def decide(
        self,
        request_id: str,
        workspace: str,
        priority: requests.PriorityClass,
        now: float,
    ) -> Decision:
        """Decides on a request that has just arrived."""
        counts = self._get_counts(workspace, priority, now)
        allowed = MULTIPLES[priority] * counts.accepted + FREE_REQUESTS
        share = max(0.0, (counts.asked - allowed) / (counts.asked + 1.0))
        position = hashing.hash_to_unit(request_id, seed=1)
        if position >= share:
            return Sent()
        counts.asked += 1.0
        wait_s = BASE_WAIT_S / (1.0 - share)
        return Shed(share, delay.compute_retry_after_ms(request_id, wait_s))

    def note_settled(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        accepted: bool,
        now: float,
    ) -> None:
        """Records what became of a request that was sent.

        Args:
            workspace: Its workspace.
            priority: Its priority class.
            accepted: Whether an agent ran it; false when it was rejected, evicted or
                given up on in a queue for want of capacity.
            now: Present time, monotonic seconds.
        """
        counts = self._get_counts(workspace, priority, now)
        counts.asked += 1.0
        if accepted:
            counts.accepted += 1.0

    def _get_counts(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> _Counts:
        key = (workspace, priority)
        counts = self._counts.get(key)
        if counts is None:
            counts = _Counts(0.0, 0.0, now)
            self._counts[key] = counts
            if len(self._counts) > MAX_KEYS:
                self._counts.popitem(last=False)
        else:
            self._counts.move_to_end(key)
            counts.decay(now)
        return counts
