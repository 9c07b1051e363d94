"""Membership: which instances are in the system, by failure detection."""
