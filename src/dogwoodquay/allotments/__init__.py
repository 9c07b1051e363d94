"""Limits what tenants use of the servers, in the sum of all instances."""
