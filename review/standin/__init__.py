"""Stand-ins of the platform for the scripts of this review.

They use the standard library only and follow PROTOCOL.md and the letters.
"""
