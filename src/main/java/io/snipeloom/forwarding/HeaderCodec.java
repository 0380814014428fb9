package io.snipeloom.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.ResponseMetadata;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.OptionalLong;

/**
 * Translates between headers and what they state; one implementation for each way in which callers
 * and replicas speak.
 *
 * <p>Implementations are thread-safe and without state.
 */
public interface HeaderCodec {

  /**
   * Decodes what a caller states.
   *
   * @param headers the headers of its request
   * @return the terms
   * @throws SnipeloomException with {@link ErrorCode#INVALID_REQUEST} if a header is malformed
   */
  RequestMetadata requestMetadata(HttpHeaders headers);

  /**
   * Returns the headers with which a request goes to a replica.
   *
   * @param source the headers of the caller
   * @param terms what this instance states
   * @param bodyBytes the length of the body
   * @return the headers
   */
  HttpHeaders requestHeaders(HttpHeaders source, ForwardMetadata terms, int bodyBytes);

  /**
   * Decodes what a replica states.
   *
   * @param status the status of its answer
   * @param headers the headers of its answer
   * @return the terms
   */
  ResponseMetadata responseMetadata(int status, HttpHeaders headers);

  /**
   * Returns the headers of a replica's answer for the caller.
   *
   * @param source the headers of the replica
   * @return the headers without those of its connection
   */
  HttpHeaders responseHeaders(HttpHeaders source);

  /**
   * Returns the headers of an answer that this instance gives itself.
   *
   * @param attemptId the attempt, empty if unknown
   * @return the headers
   */
  HttpHeaders localResponseHeaders(String attemptId);

  /**
   * Returns how long an idle connection stays open at its other end.
   *
   * @param headers the headers of the last answer
   * @return the time in milliseconds, empty if it was not stated
   */
  OptionalLong keepAliveMillis(HttpHeaders headers);
}
