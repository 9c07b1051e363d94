"""One instance: the cores, wired to I/O."""
