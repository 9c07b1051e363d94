"""Which server holds which model, and the moves towards it."""
