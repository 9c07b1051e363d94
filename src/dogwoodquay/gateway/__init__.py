"""An instance that forwards requests along routes to servers."""
