"""Claims that let a non-idempotent request run at most once."""
