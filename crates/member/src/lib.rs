//! Which entries are alive, what they tell each other, and who owns what.
