"""A fake store that can be down; the simulator delays and loses its replies."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import store


@dataclasses.dataclass(slots=True)
class FakeStore:
    """Table and objects of a simulation.

    Attributes:
        rows: Rows by key.
        objects: Objects by name.
        down: Whether it refuses all operations.
        writes: Number of rows written.
    """

    rows: dict[str, store.Row] = dataclasses.field(default_factory=dict)
    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    down: bool = False
    writes: int = 0
    _version: int = 0

    def apply(self, operation: store.Operation) -> store.Result:
        """Executes one operation."""
        if self.down:
            return store.Refused("down")
        match operation:
            case store.Read(keys):
                rows = [self.rows[key] for key in keys if key in self.rows]
                return store.Rows(tuple(rows))
            case store.Scan(prefix, after, limit):
                found = sorted(
                    key for key in self.rows if key.startswith(prefix) and key > after
                )
                return store.Rows(tuple(self.rows[key] for key in found[:limit]))
            case store.Transact(checks, writes):
                return self._transact(checks, writes)
            case store.PutObject(name, data):
                self.objects.setdefault(name, data)
                return store.ObjectStored(name)
            case store.GetObject(name):
                return store.ObjectFetched(name, self.objects.get(name))
            case _:
                typing.assert_never(operation)

    def _transact(
        self, checks: tuple[store.Check, ...], writes: tuple[store.Write, ...]
    ) -> store.Result:
        found = {check.key: self.rows.get(check.key) for check in checks}
        if any(_differs(check, found[check.key]) for check in checks):
            return store.Conflicted(tuple(row for row in found.values() if row))
        versions: dict[str, int] = {}
        for write in writes:
            self._version += 1
            self.writes += 1
            versions[write.key] = self._version
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = store.Row(write.key, self._version, write.value)
        return store.Committed(versions)


def _differs(check: store.Check, row: store.Row | None) -> bool:
    return check.version != (0 if row is None else row.version)
