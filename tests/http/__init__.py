"""Tests of `rhubarbwinch.http`."""
