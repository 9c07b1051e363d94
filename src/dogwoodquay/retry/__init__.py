"""Whether and where a failed attempt may be repeated."""
