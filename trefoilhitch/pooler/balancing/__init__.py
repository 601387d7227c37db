"""Choice of the endpoint of a read by the load of the endpoints."""
