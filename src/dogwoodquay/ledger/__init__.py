"""Possible contents of each server, and the orders that change them."""
