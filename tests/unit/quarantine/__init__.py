"""Tests of verdicts on parts of prompts."""
