"""Shares the limits that servers name between all instances."""
