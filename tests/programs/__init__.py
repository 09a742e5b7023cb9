"""Tests of `rhubarbwinch.programs`."""
