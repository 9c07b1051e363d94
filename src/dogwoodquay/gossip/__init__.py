"""Dissemination of versioned state between instances."""
