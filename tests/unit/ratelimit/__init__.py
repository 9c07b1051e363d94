"""Tests of the limits that servers name."""
