"""Benchmarks that run on a single machine."""
