"""The platform's list of instances, published with a lag."""

from __future__ import annotations

import collections
import dataclasses
import typing

Instance = dict[str, typing.Any]


@dataclasses.dataclass
class InstanceListing:
    """List of instances that readers see as it was `lag_s` ago.

    Attributes:
        lag_s: Age of the list that readers see, in seconds.
    """

    lag_s: float
    _current: dict[str, Instance] = dataclasses.field(default_factory=dict)
    _published: dict[str, Instance] = dataclasses.field(default_factory=dict)
    _pending: collections.deque[tuple[float, dict[str, Instance]]] = dataclasses.field(
        default_factory=collections.deque
    )

    def put(self, name: str, instance: Instance, now: float) -> None:
        """Adds or replaces an instance."""
        self._current = {**self._current, name: {**instance, "instance": name}}
        self._pending.append((now + self.lag_s, self._current))

    def remove(self, name: str, now: float) -> None:
        """Removes an instance; ignores an unknown one."""
        self._current = {k: v for k, v in self._current.items() if k != name}
        self._pending.append((now + self.lag_s, self._current))

    def list_instances(self, now: float) -> list[Instance]:
        """Returns the list as readers see it at `now`."""
        while self._pending and self._pending[0][0] <= now:
            self._published = self._pending.popleft()[1]
        return list(self._published.values())
