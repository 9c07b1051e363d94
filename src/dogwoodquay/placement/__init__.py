"""Plans which artifacts each server of a pool loads and unloads."""
