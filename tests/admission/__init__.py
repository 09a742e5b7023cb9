"""Tests of `rhubarbwinch.admission`."""
