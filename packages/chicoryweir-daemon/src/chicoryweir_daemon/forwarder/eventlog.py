"""Event log of a forwarding process."""

from __future__ import annotations

import typing

import structlog

from chicoryweir_policy import catalogue


class EventLog:
    """Writes numbered log events with the inputs of the decision."""

    def __init__(self, instance: str) -> None:
        self._logger = structlog.get_logger().bind(instance=instance)

    def record(
        self, number: int, request_id: str = "", peer: str = "", **inputs: typing.Any
    ) -> None:
        """Writes one event.

        Args:
            number: Number of the event in the catalogue.
            request_id: Request that the event concerns, or an empty string.
            peer: Instance that the event concerns, or an empty string.
            **inputs: Inputs of the decision, their age or version, and the outcome.
        """
        if request_id:
            inputs["request_id"] = request_id
        if peer:
            inputs["peer"] = peer
        self._logger.info(catalogue.NAMES[number], event_id=number, **inputs)
