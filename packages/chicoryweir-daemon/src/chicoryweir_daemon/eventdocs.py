"""Renders the catalogue of log events as a documentation page."""

from __future__ import annotations

import pathlib

from chicoryweir_policy import catalogue

_HEADER = """# Log events

Daemons write JSON lines on standard output. Each has `event_id`, `event`, `instance`,
`request_id`, `peer`, `detail` and `timestamp`. A number is never used again for another
kind. This page is written by `make docs`; a test compares it with the code.

| number | name | meaning | what to do |
| --- | --- | --- | --- |
"""


def render_page() -> str:
    """Returns the page as Markdown."""
    rows = [
        f"| {kind.number} | `{kind.name}` | {kind.meaning} | {kind.action} |\n"
        for kind in catalogue.KINDS
    ]
    return _HEADER + "".join(rows)


def main() -> None:
    """Writes the page to docs/events.md under the working directory."""
    pathlib.Path("docs/events.md").write_text(render_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
