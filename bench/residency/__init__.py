"""Compares ways to give out the places of engines to models."""
