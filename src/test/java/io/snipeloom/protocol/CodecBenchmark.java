package io.snipeloom.protocol;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to encode and to decode one answer chunk of various sizes. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class CodecBenchmark {
  @Param({"16", "200", "2000", "20000"})
  private int dataBytes;

  private Message.AnswerChunk chunk;
  private byte[] frame;

  /** Builds the chunk. */
  @Setup
  public void setUp() {
    byte[] data = "x".repeat(dataBytes).getBytes(StandardCharsets.UTF_8);
    chunk = new Message.AnswerChunk(Messages.attempt(123_456), 789, data);
    frame = MessageCodec.encode(chunk);
  }

  /** Encodes the chunk. */
  @Benchmark
  public byte[] encode() {
    return MessageCodec.encode(chunk);
  }

  /** Decodes the chunk. */
  @Benchmark
  public Message decode() {
    return MessageCodec.decode(frame);
  }
}
