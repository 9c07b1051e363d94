"""State of a pool's servers, shared between instances."""
