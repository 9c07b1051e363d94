"""Decides under load which requests wait, are refused, and when they return."""
