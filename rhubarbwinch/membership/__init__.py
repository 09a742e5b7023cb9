"""Which processes and VMs there are, and which one owns what."""
