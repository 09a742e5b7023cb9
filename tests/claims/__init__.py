"""Tests of `rhubarbwinch.claims`."""
