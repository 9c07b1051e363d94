"""The demonstration: stand-ins and entry instances in one process."""
