"""Measurements of single parts on one machine."""
