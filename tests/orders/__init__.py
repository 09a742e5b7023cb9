"""Tests of `rhubarbwinch.orders`."""
