"""Tests of `rhubarbwinch.membership`."""
