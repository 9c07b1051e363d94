"""An instance's view of the servers that it sends requests to."""
