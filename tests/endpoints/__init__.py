"""Tests of `rhubarbwinch.endpoints`."""
