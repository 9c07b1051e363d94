"""Tests of the idempotency package."""
