"""Finds the parts of prompts under which servers crash."""
