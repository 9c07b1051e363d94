"""Stand-ins of the users' platform, and instances as processes before them."""
