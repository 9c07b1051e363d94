"""State that lasts: typed entries on the log, replay, checkpoints."""
