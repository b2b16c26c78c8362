"""Tests of the predicted time to the first part of an answer."""

from chicoryweir_policy.forwarding import latency


def test_prediction_covers_most_samples_after_an_increase():
    averages = latency.FirstPartLatency()
    for _ in range(20):
        averages = latency.record_sample(averages, 0.15)
    for _ in range(20):
        averages = latency.record_sample(averages, 0.25)
    assert 0.23 <= averages.predict_s() <= 0.32


def test_prediction_is_zero_before_the_first_sample():
    assert latency.FirstPartLatency().predict_s() == 0.0
