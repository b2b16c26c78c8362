"""Load tests of cold endpoints, without a network, over ten seeds.

See `coldload` for the entries, their announcements and the cut between them.
"""

import coldload
import pytest

# 14 requests in a second, exceeded by half and 5 more.
LIMIT = 26


def _find_most(times):
    """Returns the most requests in any second."""
    return max(
        sum(first <= at < first + 1.0 for at in times[index:])
        for index, first in enumerate(times)
    )


# Guards against entries that overload endpoints that have just started, and against
# endpoints that get nothing until they are warm. There are more requests than the
# endpoints may get.
@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("how", ["restarted", "evacuated"])
def test_data_centre_that_returns_cold_gets_half_to_all_of_its_limit(seed, how):
    arrived = coldload.Fleet(seed, how, answer_s=0.1, rate=30.0).run()
    assert max(map(_find_most, arrived)) <= LIMIT
    allowed = LIMIT * coldload.COLD_S * coldload.COLD
    assert sum(map(len, arrived)) >= 0.5 * allowed


# Guards against entries that learn too late that all endpoints have turned cold: from
# the first answers and the next registrations. `rate` is the number of requests in a
# second at each entry; the endpoints can run as many as 7 of them, or far fewer.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate", [7.0, 12.0])
def test_endpoints_that_turn_cold_without_notice_stay_within_the_limit(seed, rate):
    arrived = coldload.Fleet(seed, "unnoticed", answer_s=0.5, rate=rate).run()
    assert max(map(_find_most, arrived)) <= LIMIT
