"""Defines the key-value store's interface, its adapters and its keys."""
