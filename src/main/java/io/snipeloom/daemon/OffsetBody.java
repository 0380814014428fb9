package io.snipeloom.daemon;

/**
 * The log offset at which a decision was recorded.
 *
 * @param offset the offset
 */
record OffsetBody(long offset) {}
