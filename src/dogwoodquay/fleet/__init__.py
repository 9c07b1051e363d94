"""What an instance believes about the servers that it sends requests to."""
