"""Measurements of the decisions."""
