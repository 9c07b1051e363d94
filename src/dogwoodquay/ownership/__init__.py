"""Duties that one instance holds at a time, decided by log order."""
