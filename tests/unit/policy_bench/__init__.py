"""Tests of the bench of the policies."""
