//! Several nodes in one process on a paused clock, over in-memory fakes.
