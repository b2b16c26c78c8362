"""Load tests of which requests go to endpoints that are cold, without a network.

21 of 63 endpoints return cold together. See `coldload` for the entries.
"""

import coldload
import pytest

from chicoryweir_policy.forwarding import ways


# Guards against requests that take what a cold endpoint accepts in the order of
# arrival, before more urgent or smaller ones that wait at the same entry.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("way", [ways.Way.OBJECTIVE_FIRST, ways.Way.LEAST_COST])
def test_cold_endpoints_get_the_most_valuable_of_the_waiting_requests(seed, way):
    fleet = coldload.MixedFleet(seed, way, rate=50.0)
    fleet.run()
    assert fleet.inversions == 0
    shares = [sent / asked for sent, asked in zip(fleet.sent, fleet.asked, strict=True)]
    assert shares == sorted(shares, reverse=True)
