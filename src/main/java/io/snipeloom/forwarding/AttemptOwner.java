package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.snipeloom.crashes.RequestTraits;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.ReplicaView;

/** The exchange that an attempt belongs to. Confined to the event loop thread. */
interface AttemptOwner {

  /** Returns whether the caller still waits for a response, as far as is known. */
  boolean isCallerWaiting();

  /** Finds out, just before the request is sent, whether the caller still waits. */
  boolean confirmCaller();

  /** Returns the traits of the request. */
  RequestTraits traits();

  /** Returns whether the request is sent to find out whether it crashes replicas. */
  boolean isTrial();

  /** Returns whether the request may still be processed where a replica is. */
  boolean mayGoTo(ReplicaView view);

  /** Returns the metadata that is added to the request for a replica. */
  ForwardMetadata forwardMetadata(ReplicaView view);

  /** Called just before the request is written to the connection. */
  void onSent(Attempt attempt);

  /** Returns the request by which its cost is estimated. */
  RoutedRequest routed();

  /** Returns whether the caller has received events of the stream, which this attempt goes on. */
  boolean isStreamBegun();

  /** Returns whether the replica sent what does not go on with the stream. */
  boolean isStreamOutOfOrder();

  /** Returns how long the replica may send nothing, in milliseconds; 0 for no limit. */
  long silenceTimeoutMillis();

  /** Returns whether the request may be retried on another replica after the silence timeout. */
  boolean mayRetryAfterSilence();

  /** Called with bytes of an event stream; the owner must not retain the buffer. */
  void onStreamContent(Attempt attempt, ByteBuf content);

  /**
   * Called when bytes of a response that is not an event stream have arrived.
   *
   * @return whether they may be kept; if not, the attempt was ended
   */
  boolean onBodyContent(Attempt attempt, int bytes);

  /** Returns the length of the event that is not complete yet, in bytes. */
  int pendingEventBytes();

  /** Returns whether the event stream may end where the replica ended it. */
  boolean isStreamComplete(Attempt attempt);

  /** Called when the event stream is complete. */
  void onStreamEnd(Attempt attempt);

  /** Called with a complete response that is not an event stream and is not to be retried. */
  void onResponse(Attempt attempt);

  /** Called when the attempt failed; no other call follows. */
  void onFailed(Attempt attempt, AttemptFailure failure, String reason);
}
