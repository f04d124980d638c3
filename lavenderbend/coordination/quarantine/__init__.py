"""Requests that crash the engines that run them."""
