"""Tests of the gossip package."""
