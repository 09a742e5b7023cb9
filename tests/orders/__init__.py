"""Tests of `rhubarbwinch.orders.orders`."""
