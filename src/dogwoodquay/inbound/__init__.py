"""Limits what the connections of clients make an instance hold."""
