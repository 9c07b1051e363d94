"""What engines hold, and the orders that change it."""
