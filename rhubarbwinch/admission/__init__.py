"""Admission control of pools: queues, account limits, placement, permits."""
