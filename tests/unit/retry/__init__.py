"""Tests of retry."""
