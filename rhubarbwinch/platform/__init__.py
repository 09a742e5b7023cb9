"""The adapter to the users' platform: its names, formats and calls."""

from rhubarbwinch.platform import adapter, kvstore

__all__ = ["adapter", "kvstore"]
