"""At-most-once execution: claims and their pages, quarantine and audit."""
