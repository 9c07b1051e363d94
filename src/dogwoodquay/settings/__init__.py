"""The settings of an instance: their schema and validation."""
