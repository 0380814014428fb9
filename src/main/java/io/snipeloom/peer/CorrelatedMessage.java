package io.snipeloom.peer;

/** A message between two instances that is a request or the response to one. */
sealed interface CorrelatedMessage extends PeerMessage
    permits ClaimMessage, LoanMessage, OriginMessage {

  /**
   * Returns the identifier that matches a response to its request, unique on one connection.
   *
   * @return the identifier
   */
  long correlationId();
}
