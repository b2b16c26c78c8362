"""Tests of the catalogue of log events and its documentation page."""

from __future__ import annotations

import pathlib

from chicoryweir_daemon import eventdocs
from chicoryweir_policy import catalogue

_ROOT = pathlib.Path(__file__).parents[3]


def test_page_matches_the_catalogue() -> None:
    page = (_ROOT / "docs" / "events.md").read_text(encoding="utf-8")
    assert page == eventdocs.render_page()


def test_event_numbers_are_unique_and_ascending() -> None:
    numbers = [kind.number for kind in catalogue.KINDS]
    assert numbers == sorted(set(numbers))


def test_every_event_number_is_used_in_the_sources() -> None:
    sources = "\n".join(
        path.read_text(encoding="utf-8")
        for path in (_ROOT / "packages").glob("*/src/**/*.py")
        if path.name != "catalogue.py"
    )
    names = [
        name
        for name, value in vars(catalogue).items()
        if name.isupper() and isinstance(value, int)
    ]
    assert len(names) == len(catalogue.KINDS)
    unused = [name for name in names if f"catalogue.{name}" not in sources]
    assert unused == []
