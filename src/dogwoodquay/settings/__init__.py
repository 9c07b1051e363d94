"""Checked settings of an instance."""
