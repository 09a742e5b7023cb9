"""Tracks the live processes and VMs, and decides which process owns what."""
