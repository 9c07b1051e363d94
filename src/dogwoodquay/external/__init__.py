"""Adapters for the outside systems: log, instance list, weights, upstreams."""
