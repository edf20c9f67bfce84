"""Console: web forms whose only output is one validated document."""
