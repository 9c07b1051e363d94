"""Applies quotas, learned capacity and overload control to requests."""
