"""Load shedding at the entry by client-side adaptive throttling.

An entry forwards a multiple of the recently accepted request rate and rejects the rest
itself, so that a flood does not consume the agents' time. Counts are kept per workspace
and priority class, so that a flood does not cause requests of others to be shed.
"""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import hashing
from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay

COUNT_HALF_LIFE_S = 4.0
UNTHROTTLED_REQUESTS = 3.0
MAX_TRACKED_KEYS = 8192
BASE_WAIT_S = 1.0
# Ratio of forwarded to accepted requests. More urgent classes get a higher ratio, since
# the agents' queues see the work of all entries and decide better than one entry.
FORWARD_RATIOS = {
    requests.PriorityClass.URGENT: 2.0,
    requests.PriorityClass.STANDARD: 1.5,
    requests.PriorityClass.BULK: 1.25,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """The request may be sent to an agent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The request is rejected at the entry and was not run.

    Attributes:
        share: Share of requests of this workspace and class being shed, 0 to 1.
        retry_after_ms: Delay after which a retry may be forwarded.
    """

    share: float
    retry_after_ms: int


Decision = Send | Shed


@dataclasses.dataclass(slots=True, eq=False)
class _Counts:
    """Exponentially decayed counts of one workspace and class.

    Attributes:
        requested: Requests shed here, or accepted or rejected by an agent.
        accepted: Requests that an agent ran.
        updated_at: Time of the latest decay, monotonic seconds.
    """

    requested: float
    accepted: float
    updated_at: float

    def decay(self, now: float) -> None:
        """Decays both counts to `now`."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / COUNT_HALF_LIFE_S)
        self.requested *= factor
        self.accepted *= factor
        self.updated_at = now


class Throttle:
    """Decides at one entry whether to send or shed a request."""

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
        """Decides whether to send or shed a new request."""
        counts = self._get_counts(workspace, priority, now)
        allowed = FORWARD_RATIOS[priority] * counts.accepted + UNTHROTTLED_REQUESTS
        share = max(0.0, (counts.requested - allowed) / (counts.requested + 1.0))
        sample = hashing.hash_to_unit(request_id, seed=1)
        if sample >= share:
            return Send()
        counts.requested += 1.0
        wait_s = BASE_WAIT_S / (1.0 - share)
        return Shed(share, delay.compute_retry_after_ms(request_id, wait_s))

    def record_outcome(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        accepted: bool,
        now: float,
    ) -> None:
        """Records whether an agent accepted a request that was sent.

        Args:
            workspace: Workspace of the request.
            priority: Priority class of the request.
            accepted: Whether an agent ran it; False when it was rejected, evicted or
                expired in a queue for lack of capacity.
            now: Present time, monotonic seconds.
        """
        counts = self._get_counts(workspace, priority, now)
        counts.requested += 1.0
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
            if len(self._counts) > MAX_TRACKED_KEYS:
                self._counts.popitem(last=False)
        else:
            self._counts.move_to_end(key)
            counts.decay(now)
        return counts
