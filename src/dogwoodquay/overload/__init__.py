"""Decides which requests wait under load, and when refused ones return."""
