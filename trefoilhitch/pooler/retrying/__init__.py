"""Further attempts at statements: pauses and budgets."""
