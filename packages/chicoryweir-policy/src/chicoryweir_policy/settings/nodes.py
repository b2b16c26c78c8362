"""Iterates over the nodes of the fleet tree."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import tree as trees


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedNode:
    """A node and its position.

    Attributes:
        path: JSON pointer of the node.
        names: Name of the node at each level from the highest down to its own.
        node: The node.
    """

    path: str
    names: tuple[str, ...]
    node: trees.Node

    def get_name(self, level: str) -> str | None:
        """Returns the name at a level; None for `*` and below the node's level."""
        index = trees.LEVELS.index(level)
        if index >= len(self.names) or self.names[index] == trees.ANY_NAME:
            return None
        return self.names[index]

    def make_value_path(self, name: str) -> str:
        """Returns the JSON pointer of a value that the node sets."""
        return f"{self.path}/settings/{name}"


def iterate_nodes(tree: trees.Tree) -> collections.abc.Iterator[PlacedNode]:
    """Yields all nodes, each before its children."""
    pending = [PlacedNode("/fleet", (), tree.fleet)]
    while pending:
        placed = pending.pop()
        yield placed
        for name, child in placed.node.children.items():
            level = trees.LEVELS[len(placed.names)]
            path = difference.join_pointer(f"{placed.path}/{level}", name)
            pending.append(PlacedNode(path, (*placed.names, name), child))
