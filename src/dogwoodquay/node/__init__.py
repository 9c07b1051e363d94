"""Assembles an instance from the other packages and runs it."""
