//! Settings in JSON with comments, checked whole.
