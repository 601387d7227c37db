"""Numbers of the store's eras; one begins with each restoration."""

# Era of a store that names none, and never loses a confirmed write.
NO_ERA = 0
# Era of a store that was never restored.
FIRST_ERA = 1
# Fencing tokens, which begin with the era, fit 64 bits up to this one.
MAX_ERA = 536870912
