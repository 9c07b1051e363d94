"""Durable state: typed entries on the log, replay and checkpoints."""
