"""Order in which statements are sent to endpoints, and which are refused."""
