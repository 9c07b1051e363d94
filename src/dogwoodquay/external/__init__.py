"""Adapters to external systems: the platform's services and upstreams."""
