"""First events that come later as a burst builds up."""

from chicoryweir_policy.forwarding import latency


def test_expectation_covers_most_samples_after_a_rise():
    known = latency.FirstPart()
    for _ in range(20):
        known = latency.note_sample(known, 0.15)
    for _ in range(20):
        known = latency.note_sample(known, 0.25)
    assert 0.23 <= known.expect() <= 0.32


def test_nothing_is_expected_before_a_sample():
    assert latency.FirstPart().expect() == 0.0
