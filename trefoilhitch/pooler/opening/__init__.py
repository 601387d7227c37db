"""How connections to endpoints are opened: gradually where one was refused."""
