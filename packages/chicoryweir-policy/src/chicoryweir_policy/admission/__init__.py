"""Admission, queues, fair sharing and limits."""
