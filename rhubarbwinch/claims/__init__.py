"""What may run at most once: claims, their pages, quarantine, audit."""
