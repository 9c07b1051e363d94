"""Models and adapters loaded on engines, and the orders that change them."""
