"""Tests of the quotas of tenants."""
