"""Tests of cuminstile.gateway.http_server."""
