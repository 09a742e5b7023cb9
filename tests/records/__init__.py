"""Tests of `rhubarbwinch.records`."""
