"""Load tests of the directory of entries, without a network, over ten seeds.

See `directoryload` for the entries, their announcements and their ends.
"""

import directoryload
import pytest

from chicoryweir_policy.forwarding import peers

# `bounds.contact_ms` and 3 s.
MAX_LISTED_S = 4.0 + 3.0
# A running entry may be missing for the time of three of its announcements.
LOST_ANNOUNCEMENTS = 3
PERIOD_S = peers.ANNOUNCE_PERIOD_S * 47 / peers.FULL_RATE_ENTRIES


# Guards against callers that are sent to an entry that ended, and against running ones
# that get no callers because their announcements or those of their relays are lost.
@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("periods", [1.0, peers.IDLE_PERIODS])
def test_directory_lists_running_entries_and_no_ended_ones(seed, periods):
    fleet = directoryload.Fleet(seed, periods)
    fleet.run()
    assert fleet.listed_s <= MAX_LISTED_S
    assert fleet.missing_s <= LOST_ANNOUNCEMENTS * periods * PERIOD_S
