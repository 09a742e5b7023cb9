"""Tests of `rhubarbwinch.callers`."""
