"""Tests of the limits on what clients make an instance hold."""
