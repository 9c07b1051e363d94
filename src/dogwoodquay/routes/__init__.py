"""The routes, services and limits of the operators' configuration."""
