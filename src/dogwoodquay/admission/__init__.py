"""Limits, queues and early refusals."""
