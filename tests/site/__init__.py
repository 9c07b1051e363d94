"""End-to-end tests: gateway processes with stand-ins of the platform."""
