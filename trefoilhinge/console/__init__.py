"""Console: web forms that produce one validated configuration document."""
