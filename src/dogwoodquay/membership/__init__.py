"""Failure detection between instances."""
