"""Who is served when, and where: queues, limits, placement, permits."""
