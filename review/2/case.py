"""A new lease holder disarms ranks without a hold; a pass begins meanwhile."""

import asyncio
import pathlib
import random
import signal

from standins import groupsystem
from standins import harness

# Share of the orders that get no answer; the site's largest dose is 0.35.
LATE_SHARE = 0.35
# The longest time for which orders are lost at the site, in seconds.
LATE_S = 5.5
# They begin to be lost this long after the callers have asked.
LATE_AFTER_S = 1.0
GRACE_S = 8.0
# Groups of the deployment, and their ranks.
GROUPS, RANKS = 4, 12
CALLERS = 14
ANSWER_TOKENS = (40, 60)
# After these callers nobody asks for a while; then single ones do, at random.
QUIET_S = 1.5
SINGLE_CALLS_PER_S, SINGLE_S = 2.0, 3.0
LENGTH_S = 88.0


async def restart(entry, ports):
    """Waits until a stopped entry has ended, and starts it again."""
    await entry.wait(GRACE_S + 0.5)
    await entry.start()
    await harness.await_ready(entry, ports.ready)


async def play(record, system):
    """Stops the entries in turn at night, while some orders are lost."""
    found = await groupsystem.start(
        record, system, entries=3, require_fencing=True, count=GROUPS, size=RANKS
    )
    running = set()
    stopping = None

    async def ask():
        result = await found.ask(random.randint(*ANSWER_TOKENS))
        record.write(
            f"{result.attempt} status {result.status} complete {result.complete} "
            f"events {len(result.event_ids)}"
        )

    until = record.now() + LENGTH_S
    while record.now() < until and not found.is_broken:
        for group in found.groups:
            group.shift_demand()
        record.write(f"{CALLERS} callers ask")
        first = [asyncio.create_task(ask()) for _ in range(CALLERS)]
        await asyncio.sleep(LATE_AFTER_S)
        if harness.has_trouble():
            for group in found.groups:
                group.lose_orders(LATE_SHARE, LATE_S)
        await asyncio.gather(*first)
        await asyncio.sleep(QUIET_S)
        for group in found.groups:
            armed = [rank.armed for rank in group.ranks if rank.armed]
            record.write(f"{group.name}: pass {group.step}, {len(armed)} ranks armed")
        if stopping is not None:
            # One entry is stopped at a time.
            await stopping
        holder = found.find_holder()
        if harness.has_trouble() and holder is not None:
            holder.signal(signal.SIGTERM)
            stopping = asyncio.create_task(restart(holder, found.ports))
        calls_until = record.now() + SINGLE_S
        while record.now() < calls_until:
            await asyncio.sleep(random.expovariate(SINGLE_CALLS_PER_S))
            running.add(asyncio.create_task(ask()))
    await asyncio.gather(*running)
    if stopping is not None:
        await stopping
    return found.judge()


if __name__ == "__main__":
    harness.run(pathlib.Path(__file__).parent, play)
