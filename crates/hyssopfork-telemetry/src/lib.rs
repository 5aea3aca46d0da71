//! Numbered events, logs and histograms.
