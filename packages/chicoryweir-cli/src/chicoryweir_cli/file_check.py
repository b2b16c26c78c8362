"""Checks a settings file without a running system."""

from __future__ import annotations

import dataclasses

from chicoryweir_cli import jsonc
from chicoryweir_policy import store
from chicoryweir_policy.settings import validation


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """A file that was checked.

    Attributes:
        document: The document; meaningless when there are faults.
        found: All faults, in order of position.
    """

    document: store.Json
    found: tuple[jsonc.LocatedFault, ...]


def check_text(data: bytes) -> Checked:
    """Reads and checks the bytes of a settings file."""
    read = jsonc.read_text(data)
    found = list(read.found)
    if not found:
        found = [
            jsonc.LocatedFault(read.locate(fault), fault)
            for fault in validation.find_faults(read.document)
        ]
    found.sort(key=lambda item: (item.position.line, item.position.column))
    return Checked(read.document, tuple(found))


def render_fault(file: str, located: jsonc.LocatedFault) -> str:
    """Returns one fault as a line of text."""
    position = located.position
    fault = located.fault
    path = fault.path or "/"
    return (
        f"{file}:{position.line}:{position.column}: {path}: {fault.problem}; "
        f"found {fault.found}; allowed: {fault.allowed}"
    )


def list_fault(file: str, located: jsonc.LocatedFault) -> dict[str, store.Json]:
    """Returns one fault as a JSON object."""
    return {
        "file": file,
        "line": located.position.line,
        "column": located.position.column,
        "path": located.fault.path,
        "problem": located.fault.problem,
        "found": located.fault.found,
        "allowed": located.fault.allowed,
    }
