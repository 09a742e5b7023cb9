"""Tests of `rhubarbwinch.records.records`."""
