"""Operations on the platform's store and their results.

Cores emit operations in commands and receive results in events.
"""

from __future__ import annotations

import collections.abc
import dataclasses

Json = None | bool | int | float | str | list["Json"] | dict[str, "Json"]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        version: Version assigned by the table; increases with each write.
        value: JSON value.
    """

    key: str
    version: int
    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A precondition of a transaction: the row has this version; 0 means absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write of a transaction; None as the value deletes the row."""

    key: str
    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Reads rows by their keys."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Reads up to `limit` rows in key order, with `prefix` and greater than `after`."""

    prefix: str
    after: str = ""
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Applies all writes atomically if all checks hold, otherwise none."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PutObject:
    """Stores an immutable object."""

    name: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GetObject:
    """Fetches an object."""

    name: str


Operation = Read | Scan | Transact | PutObject | GetObject


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Result of a read or scan; absent rows are omitted.

    Attributes:
        rows: The rows.
        era: Era of the store; None if the store did not state it.
    """

    rows: tuple[Row, ...]
    era: int | None = None

    def find(self, key: str) -> Row | None:
        """Returns the row with this key, or None."""
        return next((row for row in self.rows if row.key == key), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied.

    Attributes:
        versions: New versions by written key.
        era: Era of the store; None if the store did not state it.
    """

    versions: collections.abc.Mapping[str, int]
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction's checks failed.

    Attributes:
        rows: The checked rows as stored.
        era: Era of the store; None if the store did not state it.
    """

    rows: tuple[Row, ...]
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectFetched:
    """Data of an object, or None if it doesn't exist."""

    name: str
    data: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectStored:
    """The object was stored."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The store rejected the operation, which had no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The reply was lost; the operation may have been applied, or may still be."""

    detail: str


Result = (
    Rows | Committed | Conflicted | ObjectFetched | ObjectStored | Refused | Unknown
)
