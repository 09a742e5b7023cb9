"""Tests of `rhubarbwinch.claims.claims`."""
