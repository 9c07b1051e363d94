"""Finds servers that accept requests and answer none of them."""
