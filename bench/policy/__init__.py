"""The bench of routing, admission, retries and placement."""
