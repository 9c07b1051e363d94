"""Tests of overload control."""
