"""Tests of `rhubarbwinch.links.links`."""
