package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.snipeloom.buffering.ResponseBuffer;

/**
 * Writes responses to the connection of a caller as fast as the caller reads them, and keeps what
 * it has not read yet.
 *
 * <p>Every byte of a response is counted in the buffer of the caller before it is passed to this
 * class, which releases it once it is written or the connection is closed. Confined to the event
 * loop thread.
 */
// A failed write also closes the channel, which the channel handlers detect.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerWriter {
  private final Channel channel;
  private final ResponseBuffer buffer;
  private final Runnable onIdle;
  private final ByteParts waiting = new ByteParts();
  private int unfinishedWrites;
  private boolean endWaiting;
  private boolean closeAtEnd;
  private long lastProgressNanos;

  /**
   * Creates a writer.
   *
   * @param channel the connection
   * @param buffer counts the bytes held for the caller
   * @param onIdle called when all that was passed to this class is written
   */
  CallerWriter(Channel channel, ResponseBuffer buffer, Runnable onIdle) {
    this.channel = channel;
    this.buffer = buffer;
    this.onIdle = onIdle;
    this.lastProgressNanos = System.nanoTime();
  }

  /** Returns whether nothing waits to be written. */
  boolean isIdle() {
    return unfinishedWrites == 0 && waiting.isEmpty() && !endWaiting;
  }

  /** Returns whether the next response may be written after this one. */
  boolean takesNextResponse() {
    return waiting.isEmpty() && !endWaiting && channel.isWritable();
  }

  /** Returns when bytes were last written, or began to wait. */
  long lastProgressNanos() {
    return lastProgressNanos;
  }

  /** Writes a complete response; the length of the body is in its headers. */
  void writeResponse(int status, HttpHeaders headers, ByteParts body, boolean close) {
    closeAtEnd = close;
    int bytes = body.readableBytes();
    ByteBuf first = body.poll();
    if (body.isEmpty()) {
      buffer.onQueued(bytes);
      buffer.onComplete();
      finish(write(fullResponse(status, headers, first), bytes));
      channel.flush();
      return;
    }
    writeHead(status, headers);
    writeContent(first);
    while (!body.isEmpty()) {
      writeContent(body.poll());
    }
    writeEnd(close);
  }

  private static DefaultFullHttpResponse fullResponse(
      int status, HttpHeaders headers, ByteBuf content) {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status),
        content,
        headers,
        new DefaultHttpHeaders());
  }

  /** Writes the status and headers of a response whose body follows. */
  void writeHead(int status, HttpHeaders headers) {
    write(
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers),
        0);
  }

  /** Writes a part of a body, now or when the caller has read what precedes it. */
  void writeContent(ByteBuf content) {
    int bytes = content.readableBytes();
    buffer.onQueued(bytes);
    if (waiting.isEmpty() && channel.isWritable()) {
      write(new DefaultHttpContent(content), bytes);
      channel.flush();
    } else {
      waiting.append(content);
      content.release();
    }
  }

  /** Writes the end of a response after its content. */
  void writeEnd(boolean close) {
    closeAtEnd = close;
    endWaiting = true;
    buffer.onComplete();
    writeWaiting();
  }

  /** Writes what waits, as far as the connection takes it. */
  void writeWaiting() {
    while (!waiting.isEmpty() && channel.isWritable()) {
      ByteBuf part = waiting.poll();
      int bytes = part.readableBytes();
      write(new DefaultHttpContent(part), bytes);
      channel.flush();
    }
    if (waiting.isEmpty() && endWaiting) {
      endWaiting = false;
      finish(write(LastHttpContent.EMPTY_LAST_CONTENT, 0));
      channel.flush();
    }
  }

  /** Releases what waits, because the connection is closed. */
  void close() {
    endWaiting = false;
    buffer.onWritten(waiting.clear());
  }

  private void finish(ChannelFuture lastWrite) {
    if (closeAtEnd) {
      lastWrite.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private ChannelFuture write(Object message, int bytes) {
    if (unfinishedWrites == 0) {
      lastProgressNanos = System.nanoTime();
    }
    unfinishedWrites++;
    ChannelFuture written = channel.write(message);
    written.addListener(done -> onWritten(bytes));
    return written;
  }

  private void onWritten(int bytes) {
    unfinishedWrites--;
    lastProgressNanos = System.nanoTime();
    buffer.onWritten(bytes);
    if (isIdle()) {
      onIdle.run();
    }
  }
}
