"""Ownership of duties, decided by log order.

A duty is a task that one instance does for all.
"""
