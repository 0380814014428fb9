package io.snipeloom.daemon;

/**
 * Tells where in the log a decision stands.
 *
 * @param offset the log offset
 */
record OffsetBody(long offset) {}
