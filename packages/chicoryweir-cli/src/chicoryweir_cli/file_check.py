"""Validation of a settings file without a running system."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_cli import jsonc
from chicoryweir_policy import store
from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import review
from chicoryweir_policy.settings import validation


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of checking a file.

    Attributes:
        document: Decoded document; not valid if there are faults.
        located_faults: All faults, in the order of their positions.
        parsed: The parsed file.
    """

    document: store.Json
    located_faults: tuple[jsonc.LocatedFault, ...]
    parsed: jsonc.ParsedFile

    def locate_warnings(
        self, known: collections.abc.Collection[evacuation.Place] | None
    ) -> tuple[jsonc.LocatedFault, ...]:
        """Returns the warnings about a file without faults, by position.

        Args:
            known: Places with instances; None if they are not known.
        """
        if self.located_faults:
            return ()
        return _locate(self.parsed, review.find_warnings(self.document, known))


def check_text(data: bytes) -> CheckResult:
    """Parses and validates a settings file."""
    parsed = jsonc.parse_bytes(data)
    located_faults = parsed.located_faults
    if not located_faults:
        located_faults = _locate(parsed, validation.find_faults(parsed.document))
    return CheckResult(parsed.document, located_faults, parsed)


def _locate(
    parsed: jsonc.ParsedFile, found: collections.abc.Iterable[faults.Fault]
) -> tuple[jsonc.LocatedFault, ...]:
    located = [jsonc.LocatedFault(parsed.locate(fault), fault) for fault in found]
    located.sort(key=lambda item: (item.position.line, item.position.column))
    return tuple(located)


def render_fault(file: str, located: jsonc.LocatedFault, prefix: str = "") -> str:
    """Formats a fault on one line, with `prefix` before its path."""
    position = located.position
    fault = located.fault
    path = fault.path or "/"
    return (
        f"{file}:{position.line}:{position.column}: {prefix}{path}: {fault.problem}; "
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
