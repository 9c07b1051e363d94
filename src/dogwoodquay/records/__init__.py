"""Operators' records: schemas by version, lifting and the catalogue."""
