"""Tests of gossip."""
