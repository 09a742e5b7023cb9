"""Tests of `rhubarbwinch.configuration`."""
