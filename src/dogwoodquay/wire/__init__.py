"""The peer protocol between instances."""
