package io.snipeloom.forwarding;

/**
 * Where an attempt goes on in a stream that an earlier attempt began. Immutable.
 *
 * @param attempt the caller's attempt that received the first event; empty if the caller did not
 *     state it or the stream has not begun
 * @param lastEventId the event after which the stream goes on; empty if it has not begun
 */
record ResumePosition(String attempt, String lastEventId) {}
