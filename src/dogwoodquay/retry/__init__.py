"""Decides whether and when a failed attempt is retried."""
