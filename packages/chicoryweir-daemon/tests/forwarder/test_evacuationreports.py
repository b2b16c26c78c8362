"""Tests of what the end of an evacuation changes."""

from chicoryweir_daemon.forwarder import evacuationreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import peers


class Clock:
    def read(self):
        return 100.0


def announce(evacuated, version):
    record = evacuations.Record("kutaisi", 0, version, evacuated)
    return peers.Announcement(
        "b", 1, version, "10.0.0.2", "dc", "", True, 1, {}, (), evacuations=(record,)
    )


# Endpoints of a data centre may have been restarted while it was evacuated.
def test_endpoints_count_as_cold_after_an_evacuation(settings):
    fleet = fleets.Fleet(settings, Clock())
    service = configuration.Service("s", 0, None, cold_start_s=3.0, cold_rate=14.0)
    limits = configuration.Limits()
    fleet.adopt(configuration.Configuration(1, (), (service,), None, limits), b"1")
    endpoint = endpoints.Endpoint(
        "i-1", "s", "10.0.0.1", 80, "kutaisi", 5, False, 0.0, 1
    )
    fleet.endpoints.apply(endpoints.Registered(endpoint), 1.0)
    event_log = eventlog.EventLog("front-1")
    evacuationreports.merge_announced(fleet, event_log, announce(True, 1))
    assert not fleet.cold_endpoints.is_cold(endpoint, 100.5)
    evacuationreports.merge_announced(fleet, event_log, announce(False, 2))
    assert fleet.cold_endpoints.is_cold(endpoint, 100.5)
    assert not fleet.cold_endpoints.is_cold(endpoint, 104.0)
