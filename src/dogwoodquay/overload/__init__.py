"""Decides under load which requests wait, are refused and return when."""
