"""What each server holds or may hold, and the orders that change it."""
