"""Tests of ``bench.policy``."""
