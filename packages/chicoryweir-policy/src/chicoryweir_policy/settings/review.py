"""Reviews a valid document for entries that operators hardly mean."""

from __future__ import annotations

import collections.abc

from chicoryweir_policy import store
from chicoryweir_policy.settings import contradictions
from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import ineffective
from chicoryweir_policy.settings import tree as trees

MAX_WARNINGS = 1000


def find_warnings(
    document: store.Json,
    known: collections.abc.Collection[evacuation.Place] | None = None,
) -> tuple[faults.Fault, ...]:
    """Lists the warnings about a document, by path; at most `MAX_WARNINGS`.

    Args:
        document: Document without faults.
        known: Places with instances; None if they are not known.
    """
    tree = trees.parse_tree(document)
    found = list(ineffective.find_warnings(tree))
    if known is None:
        found += contradictions.find_warnings(tree)
    else:
        with_endpoints = [place.name for place in known if place.has_endpoints]
        found += contradictions.find_warnings(tree, with_endpoints)
        found += ineffective.find_unknown_places(tree, [place.name for place in known])
    return tuple(sorted(found, key=lambda fault: fault.path)[:MAX_WARNINGS])
