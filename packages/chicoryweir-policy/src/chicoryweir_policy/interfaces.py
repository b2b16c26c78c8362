"""The seams at which another harness can drive the system, in one place.

Each core consumes events and returns commands, given the present time. It owns no
clock, socket or source of randomness, so a harness with its own clock and transport
can drive several of them unchanged.
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
    """A deterministic core of a daemon."""

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Consumes one event and returns the commands that follow from it.

        Args:
            event: What happened.
            now: Monotonic time, in seconds; it never goes back for one core.
        """


EntryCore = entry_core.EntryCore
AgentCore = agent_core.AgentCore
CoordinatorCore = coordinator.CoordinatorCore
MemberCore = member.MemberCore

make_entry_core = entry_core.make_entry_core
make_agent_core = agent_core.make_agent_core
