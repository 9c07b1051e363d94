"""Tests of the detection of stalled servers."""
