"""Evacuated data centres, as known to one entry.

The operator requests an evacuation by a row in the store and cancels it by deleting the
row. Entries read the rows and repeat them to each other as records, of which the one
with the higher era and version wins.

The store may be restored from a copy and then lists rows as they were when it was
copied. Versions of a complete read are therefore compared with records of earlier eras
only where the result is certain: a row is newer than a record if its version is higher,
since the versions of a later era go on from the copy. An absent row, or one with a
lower version, may be the state before a change that the store lost.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import operator

# Bounds of what is stored and announced. Operators have a handful of data centres.
MAX_RECORDS = 64
MAX_NAME_LENGTH = 200
MAX_NUMBER = (1 << 64) - 1
# Earliest era of a row that may have been written in any era.
ANY_ERA = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is known of the evacuation of one data centre.

    Attributes:
        data_centre: Name of the data centre.
        era: Era of the store that had this state.
        version: Version of the change, or of the complete read that lacked the row.
        evacuated: Whether the data centre is evacuated.
        since_era: Earliest era in which the change can have been made, if that is not
            `era`: a complete read doesn't show in which era a row was written.
    """

    data_centre: str
    era: int
    version: int
    evacuated: bool
    since_era: int | None = None

    @property
    def rank(self) -> tuple[int, int, bool, int]:
        """Order of the records of a data centre; the newest has the highest."""
        return self.earliest_era, self.version, self.evacuated, self.era

    @property
    def earliest_era(self) -> int:
        """Earliest era in which the change can have been made."""
        return self.era if self.since_era is None else self.since_era


class Meaning(enum.Enum):
    """What a transition means.

    Attributes:
        STARTED: The data centre gets no requests any more.
        ENDED: The evacuation was cancelled.
        KEPT: A restored store contradicts the record, which stays in force.
        IGNORED: A name is invalid, or there are too many records.
    """

    STARTED = "started"
    ENDED = "ended"
    KEPT = "kept"
    IGNORED = "ignored"


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """Effect of records on one data centre."""

    record: Record
    meaning: Meaning


@dataclasses.dataclass(slots=True)
class _View:
    """Rows that the store has, as read by this entry.

    Attributes:
        era: Era of the reads.
        first_version: Version of the first complete read of the era. Changes with a
            higher version were made in the era.
        version: Version up to which all changes were read.
        rows: Versions of the rows, by data centre.
    """

    era: int
    first_version: int
    version: int
    rows: dict[str, int]


class Evacuations:
    """Knows which data centres are evacuated."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._evacuated: set[str] = set()
        self._ended_at: dict[str, float] = {}
        self._ignored: set[str] = set()
        self._view: _View | None = None
        self._known = False

    @property
    def is_known(self) -> bool:
        """Whether a complete state was read from the store or another entry."""
        return self._known

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether a data centre may get no requests."""
        return data_centre in self._evacuated

    def list_evacuated(self) -> list[str]:
        """Returns the names of the evacuated data centres."""
        return sorted(self._evacuated)

    def list_records(self) -> tuple[Record, ...]:
        """Returns all records, at most `MAX_RECORDS`."""
        return tuple(record for _, record in sorted(self._records.items()))

    def list_ended(self, now: float) -> dict[str, float]:
        """Returns when evacuations ended, by data centre, in monotonic seconds.

        A data centre that is evacuated again has no entry. Neither has one whose
        evacuation ended before this entry knew any state.
        """
        return {name: at for name, at in self._ended_at.items() if at <= now}

    def apply_changes(
        self, records: collections.abc.Iterable[Record], now: float
    ) -> list[Transition]:
        """Applies changes of rows from the store's feed.

        Args:
            records: The changes; a deletion has `evacuated` unset.
            now: Present time, monotonic seconds.
        """
        transitions: list[Transition] = []
        for record in records:
            view = self._view
            if view is None or view.era != record.era:
                transitions += self._settle(record, now, is_change=True)
            elif record.version > view.version:
                transitions += self._settle(record, now, is_change=True)
                view.version = record.version
                view.rows.pop(record.data_centre, None)
                if record.evacuated and record.data_centre in self._records:
                    view.rows[record.data_centre] = record.version
            elif record.version > view.first_version:
                transitions += self._settle(record, now)
            else:
                transitions += self._settle_repeated(record, now)
        return transitions

    def apply_listing(
        self,
        records: collections.abc.Iterable[Record],
        era: int,
        version: int,
        now: float,
    ) -> list[Transition]:
        """Applies a complete read of the rows.

        Args:
            records: The rows. Their era is that of the read. Deletions are ignored.
            era: Era of the read.
            version: Version of the store as of the read.
            now: Present time, monotonic seconds.

        Returns:
            The effects. `KEPT` is among them for each record that the first read of an
            era contradicts. The feed may have a change of it after the record's
            version.
        """
        before = self._view
        if before is not None and (era, version) < (before.era, before.version):
            return []
        if before is not None and before.era != era:
            before = None
        self._known = True
        listed = {r.data_centre: r.version for r in records if r.evacuated}
        first_version = version if before is None else before.first_version
        self._view = _View(era, first_version, version, listed)
        transitions: list[Transition] = []
        for name, row_version in sorted(listed.items()):
            since_era = None if row_version > first_version else ANY_ERA
            row = Record(name, era, row_version, True, since_era)
            transitions += self._settle(row, now)
        for record in self.list_records():
            name = record.data_centre
            was_read = before is not None and name in before.rows
            if record.evacuated and was_read and name not in listed:
                record = Record(name, era, version, False)
            transitions += self._settle(record, now)
        self._view.rows = {n: v for n, v in listed.items() if n in self._records}
        return transitions + (self._list_kept(era) if before is None else [])

    def merge(
        self, records: collections.abc.Iterable[Record], now: float
    ) -> list[Transition]:
        """Merges the records of another entry that knows a complete state.

        Args:
            records: All records of that entry.
            now: Present time, monotonic seconds.
        """
        self._known = True
        return [
            transition for record in records for transition in self._settle(record, now)
        ]

    def _settle(
        self, record: Record, now: float, is_change: bool = False
    ) -> list[Transition]:
        """Stores the newest of a record, the known one and what the store showed."""
        name = record.data_centre
        if not (_is_valid(record) and self._has_place(name)):
            return self._ignore(record)
        known = self._records.get(name)
        found = [record, self._derive_from_view(record), known]
        newest = max(
            (one for one in found if one is not None), key=operator.attrgetter("rank")
        )
        if newest == known:
            return []
        self._records[name] = newest
        if newest.evacuated:
            self._ended_at.pop(name, None)
            if name in self._evacuated:
                return []
            self._evacuated.add(name)
            return [Transition(newest, Meaning.STARTED)]
        self._evacuated.discard(name)
        if known is None and not is_change:
            return []
        # If the evacuation wasn't known here, it began and ended unnoticed.
        self._ended_at[name] = now
        return [Transition(newest, Meaning.ENDED)]

    def _settle_repeated(self, record: Record, now: float) -> list[Transition]:
        """Settles a change from before the first read of the era.

        It may have been made in an earlier era. It is then newer than the known record
        only if its version is higher.
        """
        known = self._records.get(record.data_centre)
        if known is None:
            return []
        return self._settle(_date(record, min(record.era, known.earliest_era)), now)

    def _derive_from_view(self, record: Record) -> Record | None:
        """Returns a newer record that follows from one and the rows of the store.

        Returns None if none follows.
        """
        view = self._view
        if view is None or record.era > view.era:
            return None
        name = record.data_centre
        row_version = view.rows.get(name)
        if row_version is not None:
            is_same = row_version == record.version and record.evacuated
            if row_version <= record.version and not is_same:
                return None
            # Had the row been written in an earlier era than the record, the versions
            # of that later era would all be higher than the row's.
            row = Record(name, view.era, row_version, True)
            return _date(row, record.earliest_era)
        is_covered = record.era == view.era and record.version <= view.version
        if record.evacuated and is_covered:
            return Record(name, view.era, view.version, False)
        return None

    def _list_kept(self, era: int) -> list[Transition]:
        """Returns the records of earlier eras that the first read contradicts."""
        rows = {} if self._view is None else self._view.rows
        return [
            Transition(record, Meaning.KEPT)
            for record in self.list_records()
            if record.era < era and record.evacuated != (record.data_centre in rows)
        ]

    def _has_place(self, name: str) -> bool:
        return name in self._records or len(self._records) < MAX_RECORDS

    def _ignore(self, record: Record) -> list[Transition]:
        """Reports an ignored record, once for each name up to a bound."""
        name = record.data_centre[: MAX_NAME_LENGTH + 1]
        if name in self._ignored or len(self._ignored) >= MAX_RECORDS:
            return []
        self._ignored.add(name)
        shortened = dataclasses.replace(record, data_centre=name)
        return [Transition(shortened, Meaning.IGNORED)]


def _is_valid(record: Record) -> bool:
    """Returns whether a record can be announced."""
    is_name = record.data_centre.isprintable() and record.data_centre
    numbers = (record.earliest_era, record.era, record.version)
    return (
        bool(is_name)
        and len(record.data_centre) <= MAX_NAME_LENGTH
        and all(0 <= number <= MAX_NUMBER for number in numbers)
    )


def _date(record: Record, earliest_era: int) -> Record:
    """Returns a record whose change can have been made in an earlier era."""
    since_era = None if earliest_era == record.era else earliest_era
    return dataclasses.replace(record, since_era=since_era)
