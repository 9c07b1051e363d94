"""Learns how much each server takes well, and shares it between instances."""
