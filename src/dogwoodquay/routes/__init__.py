"""Routes, services and limits that the operators' configuration declares."""
