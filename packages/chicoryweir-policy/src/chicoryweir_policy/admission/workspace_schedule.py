"""Weighted fair sharing between the workspaces of one priority class.

Start-time fair queueing over tokens: each workspace with work holds a virtual start
time that advances by the tokens it is served over its weight, and the one with the
lowest goes next. A workspace that becomes active starts at the virtual time of the
class, so that idle time earns nothing.
"""

from __future__ import annotations

import bisect
import dataclasses
import heapq

import sortedcontainers

from chicoryweir_policy.admission import queued


@dataclasses.dataclass(slots=True, eq=False)
class _Workspace:
    """State of one workspace.

    Attributes:
        name: Workspace.
        weight: Weight of its latest request.
        start: Virtual time at which its next request starts.
        tokens: Tokens that wait.
        requests: Requests that wait, by deadline, then arrival.
        order_key: Its key in the order of service.
        end_key: Its key in the order of virtual ends.
    """

    name: str
    weight: float
    start: float
    tokens: float = 0.0
    requests: list[tuple[float, int, queued.QueuedRequest]] = dataclasses.field(
        default_factory=list
    )
    order_key: tuple[float, int, str] = (0.0, 0, "")
    end_key: tuple[float, int, str] = (0.0, 0, "")

    @property
    def end(self) -> float:
        """Virtual time at which all that waits will have been served."""
        return self.start + self.tokens / self.weight


class WorkspaceSchedule:
    """Requests of one class that wait, shared fairly between workspaces."""

    def __init__(self) -> None:
        self._workspaces: dict[str, _Workspace] = {}
        self._order = sortedcontainers.SortedList()
        self._ends = sortedcontainers.SortedList()
        self._idle: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._sequence = 0
        self._weights = 0.0
        self._depth = 0
        self._tokens = 0.0

    @property
    def depth(self) -> int:
        """Requests that wait."""
        return self._depth

    @property
    def tokens(self) -> float:
        """Tokens that wait."""
        return self._tokens

    def push(self, request: queued.QueuedRequest) -> None:
        """Adds a request."""
        workspace = self._workspaces.get(request.workspace)
        if workspace is None:
            workspace = _Workspace(request.workspace, request.weight, self._virtual)
            self._workspaces[request.workspace] = workspace
        if workspace.requests:
            self._detach(workspace)
        else:
            workspace.start = max(workspace.start, self._virtual)
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
        """Removes and returns the request to start next, and charges its cost."""
        if not self._order:
            return None
        workspace = self._workspaces[self._order[0][2]]
        self._detach(workspace)
        self._advance(workspace.start)
        _, _, request = workspace.requests.pop(0)
        workspace.start += request.cost_tokens / workspace.weight
        self._settle(workspace, request)
        return request

    def remove(self, request: queued.QueuedRequest) -> None:
        """Removes a request that waits, without charging it."""
        workspace = self._workspaces[request.workspace]
        self._detach(workspace)
        first = bisect.bisect_left(workspace.requests, (request.deadline_at,))
        for index in range(first, len(workspace.requests)):
            if workspace.requests[index][2].attempt_id == request.attempt_id:
                del workspace.requests[index]
                break
        self._settle(workspace, request)

    def correct_cost(self, name: str, correction_tokens: float) -> None:
        """Corrects what a workspace was charged, by the tokens it really used."""
        workspace = self._workspaces.get(name)
        if workspace is None:
            if correction_tokens <= 0.0:
                return
            workspace = _Workspace(name, 1.0, self._virtual)
            self._workspaces[name] = workspace
        if workspace.requests:
            self._detach(workspace)
        workspace.start += correction_tokens / workspace.weight
        if workspace.requests:
            self._attach(workspace)
        else:
            heapq.heappush(self._idle, (workspace.start, name))

    def select_victim(self, newcomer: queued.QueuedRequest) -> queued.QueuedRequest:
        """Finds the request that yields: the last of the workspace most over its share.

        Args:
            newcomer: A request of this class that does not wait yet; it may be the one.

        Returns:
            The request whose workspace would be the last to be served completely.
        """
        own = self._workspaces.get(newcomer.workspace)
        start = self._virtual if own is None else max(own.start, self._virtual)
        waiting = newcomer.cost_tokens + (own.tokens if own is not None else 0.0)
        if not self._ends:
            return newcomer
        if start + waiting / newcomer.weight < self._ends[-1][0]:
            return self.get_last(self._ends[-1][2])
        if own is None or not own.requests:
            return newcomer
        last = own.requests[-1][2]
        return newcomer if newcomer.deadline_at >= last.deadline_at else last

    def get_last(self, name: str | None = None) -> queued.QueuedRequest:
        """Returns the last request of a workspace, by default the one most over."""
        name = self._ends[-1][2] if name is None else name
        return self._workspaces[name].requests[-1][2]

    def estimate_tokens_ahead(self, name: str) -> float:
        """Estimates the tokens of this class served before a request pushed now."""
        workspace = self._workspaces.get(name)
        if workspace is None or workspace.end <= self._virtual:
            return 0.0
        weights = self._weights + (0.0 if workspace.requests else workspace.weight)
        return min(self._tokens, (workspace.end - self._virtual) * weights)

    def _attach(self, workspace: _Workspace) -> None:
        self._sequence += 1
        workspace.order_key = (workspace.start, self._sequence, workspace.name)
        workspace.end_key = (workspace.end, self._sequence, workspace.name)
        self._order.add(workspace.order_key)
        self._ends.add(workspace.end_key)
        self._weights += workspace.weight

    def _detach(self, workspace: _Workspace) -> None:
        self._order.remove(workspace.order_key)
        self._ends.remove(workspace.end_key)
        self._weights -= workspace.weight

    def _settle(self, workspace: _Workspace, request: queued.QueuedRequest) -> None:
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

    def _advance(self, start: float) -> None:
        self._virtual = max(self._virtual, start)
        while self._idle and self._idle[0][0] <= self._virtual:
            _, name = heapq.heappop(self._idle)
            workspace = self._workspaces.get(name)
            if workspace is None or workspace.requests:
                continue
            if workspace.start <= self._virtual:
                del self._workspaces[name]

    def _reset(self) -> None:
        self._workspaces.clear()
        self._idle.clear()
        self._virtual = 0.0
        self._weights = 0.0
        self._tokens = 0.0
