"""Weighted fair scheduling of the workspaces of one priority class.

Start-time fair queueing over tokens: the virtual start time of a backlogged workspace
advances by the tokens served divided by its weight, and the workspace with the lowest
start time is served next. A workspace that becomes active starts at the virtual time of
the class, so that idle time earns no credit.
"""

from __future__ import annotations

import bisect
import dataclasses
import heapq

import sortedcontainers

from chicoryweir_policy.admission import queued


@dataclasses.dataclass(slots=True, eq=False)
class _Workspace:
    """Scheduling state of one workspace.

    Attributes:
        name: Name of the workspace.
        weight: Weight of its latest request.
        start: Virtual time at which its next request starts.
        tokens: Total cost of its queued requests.
        requests: Queued requests, by deadline, then arrival.
        start_key: Sort key by virtual start time.
        end_key: Sort key by virtual end time.
    """

    name: str
    weight: float
    start: float
    tokens: float = 0.0
    requests: list[tuple[float, int, queued.QueuedRequest]] = dataclasses.field(
        default_factory=list
    )
    start_key: tuple[float, int, str] = (0.0, 0, "")
    end_key: tuple[float, int, str] = (0.0, 0, "")

    @property
    def end(self) -> float:
        """Virtual time at which all queued requests have been served."""
        return self.start + self.tokens / self.weight


class WorkspaceSchedule:
    """Queued requests of one class, scheduled fairly between workspaces."""

    def __init__(self) -> None:
        self._workspaces: dict[str, _Workspace] = {}
        self._by_start = sortedcontainers.SortedList()
        self._by_end = sortedcontainers.SortedList()
        self._idle: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._sequence = 0
        self._total_weight = 0.0
        self._depth = 0
        self._tokens = 0.0

    @property
    def depth(self) -> int:
        """Number of queued requests."""
        return self._depth

    @property
    def tokens(self) -> float:
        """Total cost of the queued requests, in tokens."""
        return self._tokens

    def push(self, request: queued.QueuedRequest) -> None:
        """Enqueues a request."""
        workspace = self._workspaces.get(request.workspace)
        if workspace is None:
            workspace = _Workspace(
                request.workspace, request.weight, self._virtual_time
            )
            self._workspaces[request.workspace] = workspace
        if workspace.requests:
            self._detach(workspace)
        else:
            workspace.start = max(workspace.start, self._virtual_time)
        self._sequence += 1
        bisect.insort(
            workspace.requests, (request.deadline_at, self._sequence, request)
        )
        workspace.weight = request.weight
        workspace.tokens += request.cost_tokens
        self._depth += 1
        self._tokens += request.cost_tokens
        self._attach(workspace)

    def pop(self) -> queued.QueuedRequest | None:
        """Dequeues the request to start next and charges its cost to its workspace."""
        if not self._by_start:
            return None
        workspace = self._workspaces[self._by_start[0][2]]
        self._detach(workspace)
        self._advance_virtual_time(workspace.start)
        _, _, request = workspace.requests.pop(0)
        workspace.start += request.cost_tokens / workspace.weight
        self._update_after_removal(workspace, request)
        return request

    def remove(self, request: queued.QueuedRequest) -> None:
        """Removes a queued request without charging its cost."""
        workspace = self._workspaces[request.workspace]
        self._detach(workspace)
        first = bisect.bisect_left(workspace.requests, (request.deadline_at,))
        for index in range(first, len(workspace.requests)):
            if workspace.requests[index][2].attempt_id == request.attempt_id:
                del workspace.requests[index]
                break
        self._update_after_removal(workspace, request)

    def correct_cost(self, name: str, correction_tokens: float) -> None:
        """Corrects a workspace's charge by actual minus estimated tokens."""
        workspace = self._workspaces.get(name)
        if workspace is None:
            if correction_tokens <= 0.0:
                return
            workspace = _Workspace(name, 1.0, self._virtual_time)
            self._workspaces[name] = workspace
        if workspace.requests:
            self._detach(workspace)
        workspace.start += correction_tokens / workspace.weight
        if workspace.requests:
            self._attach(workspace)
        else:
            heapq.heappush(self._idle, (workspace.start, name))

    def select_victim(self, new_request: queued.QueuedRequest) -> queued.QueuedRequest:
        """Selects the request to evict from the workspace most above its share.

        Args:
            new_request: New request of this class; it may be selected itself.

        Returns:
            The last request of the workspace with the latest virtual end time.
        """
        own = self._workspaces.get(new_request.workspace)
        start = (
            self._virtual_time if own is None else max(own.start, self._virtual_time)
        )
        queued_tokens = new_request.cost_tokens + (
            own.tokens if own is not None else 0.0
        )
        if not self._by_end:
            return new_request
        if start + queued_tokens / new_request.weight < self._by_end[-1][0]:
            return self.get_last(self._by_end[-1][2])
        if own is None or not own.requests:
            return new_request
        last = own.requests[-1][2]
        return new_request if new_request.deadline_at >= last.deadline_at else last

    def get_last(self, name: str | None = None) -> queued.QueuedRequest:
        """Returns the last request of `name`, by default of the largest consumer."""
        name = self._by_end[-1][2] if name is None else name
        return self._workspaces[name].requests[-1][2]

    def estimate_tokens_ahead(self, name: str) -> float:
        """Estimates the tokens of this class served before a new request."""
        workspace = self._workspaces.get(name)
        if workspace is None or workspace.end <= self._virtual_time:
            return 0.0
        total_weight = self._total_weight + (
            0.0 if workspace.requests else workspace.weight
        )
        return min(self._tokens, (workspace.end - self._virtual_time) * total_weight)

    def _attach(self, workspace: _Workspace) -> None:
        self._sequence += 1
        workspace.start_key = (workspace.start, self._sequence, workspace.name)
        workspace.end_key = (workspace.end, self._sequence, workspace.name)
        self._by_start.add(workspace.start_key)
        self._by_end.add(workspace.end_key)
        self._total_weight += workspace.weight

    def _detach(self, workspace: _Workspace) -> None:
        self._by_start.remove(workspace.start_key)
        self._by_end.remove(workspace.end_key)
        self._total_weight -= workspace.weight

    def _update_after_removal(
        self, workspace: _Workspace, request: queued.QueuedRequest
    ) -> None:
        self._depth -= 1
        self._tokens -= request.cost_tokens
        workspace.tokens -= request.cost_tokens
        if workspace.requests:
            self._attach(workspace)
            return
        workspace.tokens = 0.0
        heapq.heappush(self._idle, (workspace.start, workspace.name))
        if self._depth == 0:
            self._reset()

    def _advance_virtual_time(self, start: float) -> None:
        self._virtual_time = max(self._virtual_time, start)
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, name = heapq.heappop(self._idle)
            workspace = self._workspaces.get(name)
            if workspace is None or workspace.requests:
                continue
            if workspace.start <= self._virtual_time:
                del self._workspaces[name]

    def _reset(self) -> None:
        self._workspaces.clear()
        self._idle.clear()
        self._virtual_time = 0.0
        self._total_weight = 0.0
        self._tokens = 0.0
