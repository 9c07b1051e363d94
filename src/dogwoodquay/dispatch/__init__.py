"""The way of one request: admission, claims, routing and attempts."""
