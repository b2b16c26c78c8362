"""Validation of a settings file without a running system."""

from __future__ import annotations

import dataclasses

from chicoryweir_cli import jsonc
from chicoryweir_policy import store
from chicoryweir_policy.settings import validation


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of checking a file.

    Attributes:
        document: Decoded document; not valid if there are faults.
        located_faults: All faults, in the order of their positions.
    """

    document: store.Json
    located_faults: tuple[jsonc.LocatedFault, ...]


def check_text(data: bytes) -> CheckResult:
    """Parses and validates a settings file."""
    parsed = jsonc.parse_bytes(data)
    located_faults = list(parsed.located_faults)
    if not located_faults:
        located_faults = [
            jsonc.LocatedFault(parsed.locate(fault), fault)
            for fault in validation.find_faults(parsed.document)
        ]
    located_faults.sort(key=lambda item: (item.position.line, item.position.column))
    return CheckResult(parsed.document, tuple(located_faults))


def render_fault(file: str, located: jsonc.LocatedFault) -> str:
    """Formats a fault on one line."""
    position = located.position
    fault = located.fault
    path = fault.path or "/"
    return (
        f"{file}:{position.line}:{position.column}: {path}: {fault.problem}; "
        f"found {fault.found}; allowed: {fault.allowed}"
    )


def encode_fault(file: str, located: jsonc.LocatedFault) -> dict[str, store.Json]:
    """Returns a fault as a JSON object."""
    return {
        "file": file,
        "line": located.position.line,
        "column": located.position.column,
        "path": located.fault.path,
        "problem": located.fault.problem,
        "found": located.fault.found,
        "allowed": located.fault.allowed,
    }
