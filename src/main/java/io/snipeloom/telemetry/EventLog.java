package io.snipeloom.telemetry;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Logs each event as one line of key=value pairs.
 *
 * <p>A bounded queue holds the lines until a writer thread outputs them. When the queue is full,
 * new lines are dropped and counted, and the writer thread reports the count with its next batch.
 * Thread-safe.
 */
public final class EventLog {
  private static final int QUEUE_LINES = 4_096;
  private static final int BATCH_LINES = 256;

  private final BlockingQueue<String> lines;
  private final PrintStream out;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::write, "log");
  private volatile boolean stopped;

  private EventLog(PrintStream out, int queueLines) {
    this.out = out;
    this.lines = new ArrayBlockingQueue<>(queueLines);
    writer.setDaemon(true);
  }

  /**
   * Creates a log, which writes nothing before {@link #start}.
   *
   * @param out the stream to which the lines are written
   */
  public static EventLog to(PrintStream out) {
    return new EventLog(out, QUEUE_LINES);
  }

  /**
   * Creates a log with a queue of the given capacity.
   *
   * @param out the stream to which the lines are written
   * @param queueLines the capacity of the queue, in lines
   */
  public static EventLog to(PrintStream out, int queueLines) {
    return new EventLog(out, queueLines);
  }

  /** Starts the writer thread. */
  public void start() {
    writer.start();
  }

  /** Stops the writer thread, waiting up to 500 ms for it to write the queued lines. */
  public void stop() {
    stopped = true;
    writer.interrupt();
    try {
      writer.join(500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Logs an event.
   *
   * @param event the name of the event
   * @param pairs alternating keys and values
   */
  public void log(String event, Object... pairs) {
    StringBuilder line = new StringBuilder(160);
    line.append("time=").append(System.currentTimeMillis()).append(" event=").append(event);
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=');
      appendValue(line, String.valueOf(pairs[i + 1]));
    }
    if (!lines.offer(line.toString())) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Returns the number of dropped lines that the log has not reported yet.
   *
   * @return the number of lines
   */
  public long dropped() {
    return dropped.get();
  }

  /** Appends a value, which is quoted and escaped unless it consists of plain ASCII characters. */
  private static void appendValue(StringBuilder line, String value) {
    boolean plain = !value.isEmpty();
    for (int i = 0; i < value.length() && plain; i++) {
      char c = value.charAt(i);
      plain = c > ' ' && c < 127 && c != '"' && c != '=' && c != '\\';
    }
    if (plain) {
      line.append(value);
      return;
    }
    line.append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c < ' ' || c == 127) {
        line.append('?');
      } else {
        line.append(c);
      }
    }
    line.append('"');
  }

  private void write() {
    List<String> batch = new ArrayList<>(BATCH_LINES);
    while (!stopped || !lines.isEmpty()) {
      try {
        batch.add(lines.take());
      } catch (InterruptedException e) {
        if (lines.isEmpty()) {
          return;
        }
      }
      lines.drainTo(batch, BATCH_LINES - 1);
      long lost = dropped.getAndSet(0);
      if (lost > 0) {
        batch.add("time=" + System.currentTimeMillis() + " event=log_lines_dropped count=" + lost);
      }
      byte[] bytes = (String.join("\n", batch) + "\n").getBytes(StandardCharsets.UTF_8);
      out.write(bytes, 0, bytes.length);
      out.flush();
      batch.clear();
    }
  }
}
