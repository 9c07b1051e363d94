"""Tests of the dispatch package."""
