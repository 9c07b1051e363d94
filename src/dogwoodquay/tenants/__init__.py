"""Tenants, their API keys and which tenant a request belongs to."""
