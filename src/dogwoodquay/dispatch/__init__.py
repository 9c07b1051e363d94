"""Runs one request: claim, admission, routing and upstream attempts."""
