"""Tests of an instance's view of the servers."""
