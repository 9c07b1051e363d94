"""Forwards requests along routes and runs an instance that does so."""
