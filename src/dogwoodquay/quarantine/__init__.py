"""Finds the requests, and parts of prompts, under which servers crash."""
