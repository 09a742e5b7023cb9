"""Chooses the gateways that send to many others: a pure decision.

A relay or a watcher sends each message to dozens of gateways. On a VM with a
small network link these messages fill the link, so that its connections time
out, while other VMs of the deployment have links many times as large.
"""

from collections.abc import Mapping

from rhubarbwinch.shared import rendezvous

# Gateways whose links have at least this share of the largest one's capacity
# count as equals, so that a small difference between links moves no role.
EQUAL_LINK_SHARE = 0.5


def rank_for_role(role: str, links_mbps: Mapping[str, int]) -> list[str]:
    """Returns the gateways in the order in which they take a role.

    Those with the largest links go first; rendezvous hashing orders equals.

    Args:
        role: The name of the role.
        links_mbps: The capacity of each gateway's link in Mbit/s; 0 if it is
            not known.
    """
    largest = max(links_mbps.values(), default=0)
    ranked = rendezvous.ranking(role, links_mbps)
    ranked.sort(key=lambda name: links_mbps[name] < EQUAL_LINK_SHARE * largest)
    return ranked
