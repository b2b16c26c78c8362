"""In-memory transactional table."""

from __future__ import annotations

import dataclasses

import sortedcontainers

from chicoryweir_policy import store


@dataclasses.dataclass
class Table:
    """Rows sorted by key; one counter supplies the versions of all rows."""

    _rows: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    _version: int = 0

    def read(self, keys: tuple[str, ...]) -> tuple[store.Row, ...]:
        """Returns the rows that exist, in the order of `keys`."""
        return tuple(self._rows[key] for key in keys if key in self._rows)

    def scan(self, prefix: str, after: str, limit: int) -> tuple[store.Row, ...]:
        """Returns up to `limit` rows with the prefix whose keys follow `after`."""
        rows: list[store.Row] = []
        start = max(prefix, after)
        for key in self._rows.irange(minimum=start):
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            if key != after:
                rows.append(self._rows[key])
        return tuple(rows)

    def transact(self, transaction: store.Transact) -> store.Result:
        """Applies all writes if all checks hold, otherwise none."""
        for check in transaction.checks:
            row = self._rows.get(check.key)
            if (row.version if row else 0) != check.version:
                keys = tuple(c.key for c in transaction.checks)
                return store.Conflicted(self.read(keys))
        versions = {}
        for write in transaction.writes:
            self._version += 1
            versions[write.key] = self._version
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = store.Row(write.key, self._version, write.value)
        return store.Committed(versions)
