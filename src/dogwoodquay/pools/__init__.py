"""What is known of the servers of a pool, shared between instances."""
