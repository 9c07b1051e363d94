"""Tests of the learned capacity of servers."""
