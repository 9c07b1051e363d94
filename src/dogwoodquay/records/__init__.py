"""Operators' records: their versioned schemas, checks and the catalog."""
