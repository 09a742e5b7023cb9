"""The key-value store: its interface, its adapters and its keys."""
