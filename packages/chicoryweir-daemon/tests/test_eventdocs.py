"""Tests of the catalogue of events and its page."""

from __future__ import annotations

import pathlib

from chicoryweir_daemon import eventdocs
from chicoryweir_policy import catalogue

_ROOT = pathlib.Path(__file__).parents[3]


def test_page_is_what_the_catalogue_renders() -> None:
    page = (_ROOT / "docs" / "events.md").read_text(encoding="utf-8")
    assert page == eventdocs.render_page()


def test_numbers_are_unique_and_in_order() -> None:
    numbers = [kind.number for kind in catalogue.KINDS]
    assert numbers == sorted(set(numbers))


def test_every_number_in_the_catalogue_is_recorded_somewhere() -> None:
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
