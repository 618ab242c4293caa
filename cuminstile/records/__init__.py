"""Platform client, and the state that is read from the platform's streams."""
