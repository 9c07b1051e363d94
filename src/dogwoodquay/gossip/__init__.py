"""Replicates versioned items to all instances by gossip."""
