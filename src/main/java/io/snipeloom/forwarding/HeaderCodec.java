package io.snipeloom.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.routing.AnswerTerms;
import io.snipeloom.routing.ForwardTerms;
import io.snipeloom.routing.RequestTerms;
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
  RequestTerms requestTerms(HttpHeaders headers);

  /**
   * Returns the headers with which a request goes to a replica.
   *
   * @param source the headers of the caller
   * @param terms what this instance states
   * @param bodyBytes the length of the body
   * @return the headers
   */
  HttpHeaders forwarded(HttpHeaders source, ForwardTerms terms, int bodyBytes);

  /**
   * Decodes what a replica states.
   *
   * @param status the status of its answer
   * @param headers the headers of its answer
   * @return the terms
   */
  AnswerTerms answerTerms(int status, HttpHeaders headers);

  /**
   * Returns the headers of a replica's answer for the caller.
   *
   * @param source the headers of the replica
   * @return the headers without those of its connection
   */
  HttpHeaders answered(HttpHeaders source);

  /**
   * Returns the headers of an answer that this instance gives itself.
   *
   * @param attemptId the attempt, empty if unknown
   * @return the headers
   */
  HttpHeaders own(String attemptId);

  /**
   * Returns how long an idle connection stays open at its other end.
   *
   * @param headers the headers of the last answer
   * @return the time in milliseconds, empty if it was not stated
   */
  OptionalLong keepAliveMillis(HttpHeaders headers);
}
