"""Tests that the operators' guide matches the catalogue."""

import pathlib

from chicoryweir_policy.settings import catalogue

GUIDE = pathlib.Path(__file__).parents[4] / "docs/operators.md"


def test_guide_lists_every_setting_with_its_allowed_values() -> None:
    text = GUIDE.read_text()
    for setting in catalogue.SETTINGS:
        assert f"| `{setting.name}` | {setting.describe_allowed()} |" in text
