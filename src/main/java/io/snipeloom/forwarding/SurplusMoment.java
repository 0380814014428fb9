package io.snipeloom.forwarding;

/** When bytes came on a connection that belong to none of its requests. */
enum SurplusMoment {
  /** Right after a response. */
  AFTER_RESPONSE,
  /** While the connection was idle. */
  WHILE_IDLE,
  /** Before the head of a response, which they spoilt. */
  BEFORE_RESPONSE,
  /** Inside the body of a response. */
  INSIDE_RESPONSE,
  /** In a response, which they make malformed. */
  MALFORMED_RESPONSE
}
