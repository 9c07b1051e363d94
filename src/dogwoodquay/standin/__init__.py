"""Stand-ins of the platform over HTTP, for the demonstration and tests."""
