"""First events that come later as a burst builds up."""

from chicoryweir_policy.forwarding import latency


def test_expectation_covers_most_samples_after_a_rise():
    known = latency.FirstPartLatency()
    for _ in range(20):
        known = latency.record_sample(known, 0.15)
    for _ in range(20):
        known = latency.record_sample(known, 0.25)
    assert 0.23 <= known.predict_s() <= 0.32


def test_nothing_is_expected_before_a_sample():
    assert latency.FirstPartLatency().predict_s() == 0.0
