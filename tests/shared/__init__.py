"""Tests of `rhubarbwinch.shared`."""
