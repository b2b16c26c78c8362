"""Interfaces through which a simulator or test harness drives the system.

Each core consumes events and returns commands, given the present time. It owns no
clock, socket or source of randomness, so a harness with its own clock and transport
can run several cores unchanged.
"""

from __future__ import annotations

import typing

from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_policy.cores.entry import core as entry_core
from chicoryweir_policy.groups import coordinator
from chicoryweir_policy.groups import member


class Core(typing.Protocol):
    """Deterministic, sans-I/O core of a daemon."""

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Processes one event and returns the commands to execute.

        Args:
            event: The event.
            now: Monotonic time, in seconds; never decreases between calls to one core.
        """


EntryCore = entry_core.EntryCore
AgentCore = agent_core.AgentCore
CoordinatorCore = coordinator.CoordinatorCore
MemberCore = member.MemberCore

make_entry_core = entry_core.make_entry_core
make_agent_core = agent_core.make_agent_core
