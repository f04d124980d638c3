"""Router daemons, stand-ins and the demo, built from the library."""
