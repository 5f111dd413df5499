"""The drill: several processes of the program, broken in seeded ways, and judged by their histories."""
