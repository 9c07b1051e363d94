"""The inner protocol between instances."""
