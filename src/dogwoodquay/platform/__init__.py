"""Adapter to the store, servers and settings of the users' platform."""
