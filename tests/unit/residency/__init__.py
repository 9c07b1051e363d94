"""Tests of the engines' contents and of the orders that change them."""
