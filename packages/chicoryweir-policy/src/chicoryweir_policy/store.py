"""Operations on the platform's store, as values that a core emits and consumes."""

from __future__ import annotations

import collections.abc
import dataclasses

Json = None | bool | int | float | str | list["Json"] | dict[str, "Json"]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        version: Version given by the table; it grows by each write.
        value: JSON value.
    """

    key: str
    version: int
    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A condition of a transaction; `version` 0 demands that the row is absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write of a transaction; a value of None deletes the row."""

    key: str
    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Reads rows by key."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Reads rows whose keys start with `prefix`, in order, after `after`."""

    prefix: str
    after: str = ""
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Applies all writes if all checks hold, else none."""

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
    """Rows that were found; an absent row is left out."""

    rows: tuple[Row, ...]

    def find(self, key: str) -> Row | None:
        """Returns the row with this key, or None."""
        return next((row for row in self.rows if row.key == key), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect; `versions` are those of the rows written."""

    versions: collections.abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A transaction's checks failed; `rows` are the checked rows as they are."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectFetched:
    """An object's data, or None when there is no such object."""

    name: str
    data: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectStored:
    """An object is stored."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The store did not take the operation; it had no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The reply was lost; the operation may have taken effect, or may yet."""

    detail: str


Result = (
    Rows | Committed | Conflicted | ObjectFetched | ObjectStored | Refused | Unknown
)
