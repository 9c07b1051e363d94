"""Admission of requests: caller limits, queues and early refusals."""
