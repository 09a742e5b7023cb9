"""The choice of the route for a request."""

import unittest

from tests.gatewaybuilders import route, table


class RoutingTableTest(unittest.TestCase):
    """Matching by host and longest prefix."""

    def setUp(self):
        self.table = table(
            route(prefix="/a/"),
            route(prefix="/a/b/"),
            route(prefix="/", host="other.example"),
        )

    def _prefix(self, host, path):
        matched = self.table.find_route(host, path)
        return matched and matched.prefix

    def test_the_longest_prefix_is_taken(self):
        self.assertEqual(self._prefix("h.example", "/a/b/c"), "/a/b/")
        self.assertEqual(self._prefix("h.example", "/a/bc"), "/a/")
        self.assertEqual(self._prefix("h.example", "/a/b"), "/a/")

    def test_other_hosts_and_paths_have_no_route(self):
        self.assertIsNone(self._prefix("h.example", "/b/"))
        self.assertIsNone(self._prefix("x.example", "/a/"))
        self.assertEqual(self._prefix("other.example", "/any"), "/")
