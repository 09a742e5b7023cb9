"""The messages between processes and their transports."""
