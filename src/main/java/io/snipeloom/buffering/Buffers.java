package io.snipeloom.buffering;

/**
 * What an instance holds for callers and replicas. Confined to the event loop thread.
 *
 * @param bounds the bounds on what is held
 * @param responses the bytes of responses
 * @param requests the bytes of request bodies
 * @param bodies the bytes of request bodies under way to each replica
 */
public record Buffers(
    BufferBounds bounds, ResponseBuffers responses, RequestBuffers requests, ReplicaBodies bodies) {

  /** Creates buffers that hold nothing. */
  public static Buffers of(BufferBounds bounds) {
    return new Buffers(
        bounds, new ResponseBuffers(bounds), new RequestBuffers(bounds), new ReplicaBodies(bounds));
  }
}
