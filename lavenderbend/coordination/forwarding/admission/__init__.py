"""Admission of requests to upstreams that have too little room."""
