"""Queue of an agent: floors between classes, fair shares between workspaces."""

from __future__ import annotations

import heapq

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import floors
from chicoryweir_policy.admission import queued
from chicoryweir_policy.admission import sharing

_CLASSES = tuple(requests.PriorityClass)
_SLACK_EXPIRIES = 64


class FairQueue:
    """Shares an endpoint between classes by floors and between workspaces by weight."""

    def __init__(self, limit: int, tokens_per_s: float) -> None:
        self._limit = limit
        self._tokens_per_s = tokens_per_s
        self._ledger = floors.FloorLedger()
        self._schedules = tuple(sharing.WorkspaceSchedule() for _ in _CLASSES)
        self._entries: dict[str, queued.Queued] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._entries)

    def push(self, entry: queued.Queued, now: float) -> queued.Outcome:
        """Adds a request; when the queue is full, the largest consumer yields."""
        assert entry.attempt_id not in self._entries, entry.attempt_id
        self._ledger.set_share(entry.priority, entry.floor_share)
        evicted: tuple[queued.Rejected, ...] = ()
        if len(self._entries) >= self._limit:
            victim = self._select_victim(entry)
            if victim is entry:
                return self._reject(entry, queued.Reason.QUEUE_FULL)
            evicted = (self._reject(victim, queued.Reason.EVICTED),)
            self.remove(victim.attempt_id)
        self._entries[entry.attempt_id] = entry
        self._schedules[entry.priority].push(entry)
        self._sequence += 1
        expiry = (entry.latest_start_at, self._sequence, entry.attempt_id)
        heapq.heappush(self._expiries, expiry)
        return queued.Accepted(entry, evicted)

    def pop(self, now: float) -> queued.Queued | None:
        """Removes and returns the request to start next; None when none waits."""
        backlogged = self._list_backlogged()
        priority = self._ledger.select_class(backlogged)
        if priority is None:
            return None
        entry = self._schedules[priority].pop()
        if entry is None:
            return None
        del self._entries[entry.attempt_id]
        self._ledger.charge(priority, entry.cost_tokens, backlogged, self._tokens_per_s)
        self._compact_expiries()
        return entry

    def remove(self, attempt_id: str) -> queued.Queued | None:
        """Removes a cancelled attempt; None when it does not wait."""
        entry = self._entries.pop(attempt_id, None)
        if entry is not None:
            self._schedules[entry.priority].remove(entry)
            self._compact_expiries()
        return entry

    def expire(self, now: float) -> tuple[queued.Queued, ...]:
        """Removes and returns the requests whose deadline can no longer be met."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            _, _, attempt_id = heapq.heappop(self._expiries)
            entry = self._entries.get(attempt_id)
            if entry is not None and entry.latest_start_at < now:
                self.remove(attempt_id)
                expired.append(entry)
        return tuple(expired)

    def note_served(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        correction_tokens: float,
        now: float,
    ) -> None:
        """Corrects the cost charged at the start of a request.

        Args:
            workspace: Workspace of the request.
            priority: Its priority class.
            correction_tokens: Tokens used beyond the estimate; negative where fewer.
            now: Present time, monotonic seconds.
        """
        self._schedules[priority].correct(workspace, correction_tokens)
        self._ledger.charge(
            priority, correction_tokens, self._list_backlogged(), self._tokens_per_s
        )

    def set_speed(self, tokens_per_s: float) -> None:
        """Sets the speed of the whole endpoint, on which waits are predicted."""
        self._tokens_per_s = tokens_per_s

    def predict_wait(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> float:
        """Predicts how long a request pushed now would wait, in seconds."""
        ahead = self._schedules[priority].count_ahead(workspace)
        return self._predict_class_wait(priority, ahead)

    def measure(self, now: float) -> tuple[queued.ClassMeasure, ...]:
        """Returns the work that waits, by class, most urgent first."""
        tokens = [schedule.tokens for schedule in self._schedules]
        drains = floors.predict_waits(tokens, self._ledger.shares, self._tokens_per_s)
        return tuple(
            queued.ClassMeasure(
                priority=priority,
                depth=self._schedules[priority].depth,
                tokens=tokens[priority],
                drain_s=drains[priority],
                newcomer_wait_s=self._predict_class_wait(priority, 0.0),
            )
            for priority in _CLASSES
        )

    def _predict_class_wait(
        self, priority: requests.PriorityClass, ahead_tokens: float
    ) -> float:
        tokens = [schedule.tokens for schedule in self._schedules]
        tokens[priority] = ahead_tokens
        if any(tokens[:priority]):
            tokens[priority] += self._ledger.get_debt(priority)
        waits = floors.predict_waits(tokens, self._ledger.shares, self._tokens_per_s)
        return waits[priority]

    def _list_backlogged(self) -> list[bool]:
        return [schedule.depth > 0 for schedule in self._schedules]

    def _select_victim(self, newcomer: queued.Queued) -> queued.Queued:
        shares = self._ledger.shares
        for priority in reversed(_CLASSES):
            depth = self._schedules[priority].depth + (priority == newcomer.priority)
            if depth <= shares[priority] * self._limit:
                continue
            if priority == newcomer.priority:
                return self._schedules[priority].find_largest(newcomer)
            return self._schedules[priority].find_last()
        return newcomer

    def _reject(self, entry: queued.Queued, reason: queued.Reason) -> queued.Rejected:
        wait_s = self.predict_wait(entry.workspace, entry.priority, entry.arrived_at)
        retry_after_ms = delay.compute_retry_after_ms(entry.attempt_id, wait_s)
        return queued.Rejected(entry, reason, retry_after_ms)

    def _compact_expiries(self) -> None:
        if len(self._expiries) <= 2 * len(self._entries) + _SLACK_EXPIRIES:
            return
        self._expiries = [
            expiry for expiry in self._expiries if expiry[2] in self._entries
        ]
        heapq.heapify(self._expiries)


def create_fair_queue(limit: int, tokens_per_s: float) -> queued.Queue:
    """Creates the queue of an agent.

    Args:
        limit: Requests that may wait.
        tokens_per_s: Speed of the whole endpoint.
    """
    return FairQueue(limit, tokens_per_s)
