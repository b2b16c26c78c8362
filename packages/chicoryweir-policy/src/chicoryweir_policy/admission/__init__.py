"""Admission control: queues, fair scheduling, rate and concurrency limits."""
