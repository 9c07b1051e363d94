"""The planned stop of an instance, as decisions without input and output."""
