"""HTTP adapters to the platform and to upstreams."""
