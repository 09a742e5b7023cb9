"""Tests of `rhubarbwinch.endpoints.endpoints`."""
