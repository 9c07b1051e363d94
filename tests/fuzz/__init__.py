"""Stateful fuzzing of the decisions against a simple oracle."""
