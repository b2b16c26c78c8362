"""Tests of the merge of evacuations from the store and from other entries."""

import itertools

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.forwarding import evacuations

Record = evacuations.Record
KEPT = evacuations.Meaning.KEPT


def _create(*rows, era=1, version=10):
    known = evacuations.Evacuations()
    known.apply_listing([Record(*row) for row in rows], era, version, 0.0)
    return known


def _change(known, name, era, version, evacuated, now=1.0):
    return known.apply_changes([Record(name, era, version, evacuated)], now)


# Guards against an entry that misses the second of two requests, or takes the deletion
# between them, which another entry repeats later, for the newest state.
def test_overlapping_and_repeated_evacuations_keep_their_newest_state():
    known, late = _create(), _create()
    for version, evacuated in ((11, True), (12, False), (13, True)):
        _change(known, "a", 1, version, evacuated)
    _change(known, "b", 1, 14, True)
    _change(known, "b", 1, 15, False)
    _change(late, "a", 1, 12, False)
    assert known.merge(late.list_records(), 2.0) == []
    assert known.list_evacuated() == ["a"]
    assert known.list_ended(2.0) == {"b": 1.0}
    late.merge(known.list_records(), 2.0)
    assert late.is_evacuated("a")


def test_older_listing_does_not_undo_a_newer_change():
    known = _create()
    _change(known, "a", 1, 12, True)
    assert known.apply_listing([], 1, 11, 2.0) == []
    assert known.is_evacuated("a")


def test_restored_store_keeps_what_it_contradicts_until_a_change():
    known = _create(("b", 1, 5, True))
    _change(known, "a", 1, 30, True)
    _change(known, "b", 1, 31, False)
    transitions = known.apply_listing([Record("b", 2, 5, True)], 2, 12, 2.0)
    assert [(t.record.data_centre, t.meaning.value) for t in transitions] == [
        ("a", "kept"),
        ("b", "kept"),
    ]
    assert known.list_evacuated() == ["a"]
    assert {record.era for record in known.list_records()} == {1}
    _change(known, "a", 2, 13, False)
    _change(known, "b", 2, 14, True)
    assert known.list_evacuated() == ["b"]


# Guards against an evacuation that lasts although the operator cancelled it between
# the restore and the first read: the feed repeats changes after the kept version.
def test_change_before_the_first_read_of_an_era_is_applied_if_it_is_newer():
    known = _create(("a", 1, 5, True))
    known.apply_listing([], 2, 40, 2.0)
    assert known.is_evacuated("a")
    known.apply_changes([Record("a", 2, 39, False)], 3.0)
    assert not known.is_evacuated("a")
    # The change may be from before the copy, and the store may have lost this one.
    known.merge([Record("a", 1, 50, True)], 4.0)
    assert known.is_evacuated("a")


# Guards against an evacuation that lasts after the feed lost the deletion of a row that
# the copy had in an older version than the entry.
def test_row_that_a_later_read_of_the_era_lacks_was_deleted():
    known = _create(("a", 1, 30, True))
    known.apply_listing([Record("a", 2, 5, True)], 2, 12, 2.0)
    known.apply_listing([], 2, 14, 3.0)
    assert not known.is_evacuated("a")


def test_entry_that_restarts_while_the_store_is_down_learns_from_another():
    started = evacuations.Evacuations()
    assert not started.is_known
    started.merge(_create(("a", 1, 5, True)).list_records(), 1.0)
    assert started.is_known
    assert started.is_evacuated("a")


def test_invalid_names_and_too_many_records_are_ignored_and_reported_once():
    long = "x" * (evacuations.MAX_NAME_LENGTH + 1)
    names = ["", long, *(f"n{n:03}" for n in range(evacuations.MAX_RECORDS + 2))]
    rows = [Record(name, 1, 1, True) for name in names]
    known = evacuations.Evacuations()
    transitions = known.apply_listing(rows, 1, 10, 0.0)
    ignored = [t for t in transitions if t.meaning is evacuations.Meaning.IGNORED]
    assert len(ignored) == 4
    assert len(known.list_records()) == evacuations.MAX_RECORDS
    assert known.merge(rows, 1.0) == []


class _Store:
    """Rows with the version of their last change, and all changes."""

    def __init__(self):
        self.era, self.version, self.rows, self.changes = 1, 0, {}, []
        self.copy()

    def write(self, name, evacuated):
        self.version += 1
        self.rows = {n: v for n, v in self.rows.items() if n != name}
        if evacuated:
            self.rows[name] = self.version
        self.changes = [*self.changes, (name, self.version, evacuated)]

    def copy(self):
        self.copied = (self.version, self.rows, self.changes)

    def restore(self):
        self.era += 1
        self.version, self.rows, self.changes = self.copied


class _Entry:
    """Reads the store as the watch does: a listing in each era, then the feed."""

    def __init__(self):
        self.known = evacuations.Evacuations()
        self.position = (0, 0)

    def read(self, store):
        era, after = self.position
        self.position = (store.era, store.version)
        if era == store.era:
            found = [Record(n, era, v, e) for n, v, e in store.changes if v > after]
            self.known.apply_changes(found, 0.0)
            return
        rows = [Record(n, store.era, v, True) for n, v in store.rows.items()]
        transitions = self.known.apply_listing(rows, store.era, store.version, 0.0)
        kept = [t.record.version for t in transitions if t.meaning is KEPT]
        self.position = (store.era, min([store.version, *kept]))

    def merge(self, other):
        if other.known.is_known:
            self.known.merge(other.known.list_records(), 0.0)


ENTRIES = strategies.integers(0, 2)
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("write"), strategies.sampled_from("ab"), strategies.booleans()
    ),
    strategies.tuples(strategies.sampled_from(["read", "forget", "restart"]), ENTRIES),
    strategies.tuples(strategies.just("merge"), ENTRIES, ENTRIES),
    strategies.tuples(strategies.sampled_from(["copy", "restore"])),
)


def _run(steps):
    store, entries = _Store(), [_Entry() for _ in range(3)]
    for kind, *values in steps:
        match kind:
            case "read":
                entries[values[0]].read(store)
            case "forget":
                entries[values[0]].position = (0, 0)
            case "restart":
                entries[values[0]] = _Entry()
            case "merge":
                entries[values[0]].merge(entries[values[1]])
            case _:
                getattr(store, kind)(*values)
    return store, entries


def _list_states(entries, exchange=True):
    for one, other in 3 * list(itertools.product(entries, entries)) * exchange:
        one.merge(other)
    return [entry.known.list_evacuated() for entry in entries]


# Guards against entries that end in an older state than the store's, or in different
# ones, after any order of reads, announcements, restarts and losses of history.
@hypothesis.settings(max_examples=500)
@hypothesis.example([("write", "a", True), ("read", 1), ("write", "a", False)])
@hypothesis.given(strategies.lists(STEPS, max_size=30))
def test_entries_agree_with_a_store_that_was_not_restored(steps):
    store, entries = _run([step for step in steps if step[0] != "restore"])
    entries[0].read(store)
    assert _list_states(entries) == [sorted(store.rows)] * len(entries)


@hypothesis.settings(max_examples=500)
@hypothesis.given(strategies.lists(STEPS, max_size=40))
def test_entries_agree_after_restores_and_follow_the_next_change(steps):
    store, entries = _run(steps)
    for entry in entries:
        entry.read(store)
    states = _list_states(entries)
    assert states == states[:1] * len(entries)
    for name in "ab":
        store.write(name, name not in store.rows)
    for entry in entries:
        entry.read(store)
    assert _list_states(entries, False) == [sorted(store.rows)] * len(entries)
