"""The command line interface, one module for each command."""
