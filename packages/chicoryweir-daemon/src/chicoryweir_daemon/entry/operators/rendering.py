"""Values of a difference as JSON."""

from __future__ import annotations

import typing

from chicoryweir_policy.settings import difference


def render_side(side: difference.Side) -> typing.Any:
    """Returns a value, or None where there is none."""
    return None if isinstance(side, difference.Absent) else side
