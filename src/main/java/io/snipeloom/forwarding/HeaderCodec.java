package io.snipeloom.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.ResponseMetadata;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.OptionalLong;

/**
 * Encodes and decodes headers; there is one implementation per header convention of callers and
 * replicas.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface HeaderCodec {

  /**
   * Decodes the headers of a caller's request.
   *
   * @param headers the request headers
   * @return the decoded metadata
   * @throws SnipeloomException with {@link ErrorCode#INVALID_REQUEST} if a header is malformed
   */
  RequestMetadata requestMetadata(HttpHeaders headers);

  /**
   * Returns whether the name of a customer can be sent to a replica exactly as it is.
   *
   * @param customer the name
   */
  boolean canSend(String customer);

  /**
   * Returns the headers of a request that is forwarded to a replica.
   *
   * @param source the headers received from the caller
   * @param metadata the metadata that this instance adds
   * @param bodyBytes the length of the body, in bytes
   * @return the headers to send
   */
  HttpHeaders requestHeaders(HttpHeaders source, ForwardMetadata metadata, int bodyBytes);

  /**
   * Decodes the headers of a replica's response.
   *
   * @param status the HTTP status code
   * @param headers the response headers
   * @return the decoded metadata
   */
  ResponseMetadata responseMetadata(int status, HttpHeaders headers);

  /**
   * Returns the headers of a response that is relayed to the caller.
   *
   * @param source the headers received from the replica
   * @return the headers without those that concern only the connection to the replica
   */
  HttpHeaders responseHeaders(HttpHeaders source);

  /**
   * Returns the headers of a response that this instance generates itself.
   *
   * @param attemptId the attempt ID, empty if unknown
   * @return the headers to send
   */
  HttpHeaders localResponseHeaders(String attemptId);

  /**
   * Returns how long the peer keeps an idle connection open.
   *
   * @param headers the headers of the last response
   * @return the keep-alive timeout in milliseconds, empty if the peer did not announce it
   */
  OptionalLong keepAliveMillis(HttpHeaders headers);
}
