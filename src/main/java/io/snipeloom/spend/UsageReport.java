package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * A report by one incarnation of an instance about the usage of its claimed tokens at one point in
 * time.
 *
 * <p>From that time on, the incarnation limits its usage to an allowance that grows with time. The
 * next incarnation on the same machine starts only after this one has ended and reads the same
 * monotonic clock. It can therefore compute the most that this one can have used, and inherits the
 * rest.
 *
 * @param writer the name of the incarnation
 * @param sequence the number of the report among the reports of the writer
 * @param clock the monotonic clock of the machine
 * @param nanos the monotonic time of the report
 * @param era the era of the store in which it was made; in a later one it may not be the last
 * @param machine the machine of the writer, whose processes ended before a later one starts; empty
 *     if unknown
 * @param readings what the clocks of the fleet had certainly reached at the time of the report
 * @param usages the usage of each customer
 */
public record UsageReport(
    String writer,
    long sequence,
    MachineClock clock,
    long nanos,
    long era,
    String machine,
    List<ClockReading> readings,
    List<CustomerUsage> usages) {
  private static final int FIELDS = 9;
  private static final int READING_FIELDS = 2;
  private static final int USAGE_FIELDS = 6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Only after this time without a newer report may the writer exceed its recent rate. A restarted
   * instance is back sooner, so it loses little of what the previous incarnation held. A live
   * writer that could not report for this long is in an outage of the store.
   */
  private static final long OUTAGE_THRESHOLD_NANOS = 5_000_000_000L;

  /** Makes immutable copies of the lists. */
  public UsageReport {
    readings = List.copyOf(readings);
    usages = List.copyOf(usages);
  }

  /**
   * The usage of one customer, with the allowance for further usage after the report.
   *
   * @param customer the customer
   * @param grantedTokens the tokens claimed, borrowed or inherited so far
   * @param usedTokens the tokens spent, reserved, lent, returned or pending return so far
   * @param burstTokens the further tokens that may be used immediately
   * @param tokensPerSecond the further tokens that may be used for each second since the report
   * @param outageTokensPerSecond the further tokens that may be used for each second of an outage
   *     of the store
   */
  public record CustomerUsage(
      CustomerId customer,
      long grantedTokens,
      long usedTokens,
      long burstTokens,
      long tokensPerSecond,
      long outageTokensPerSecond) {

    /**
     * Returns the most tokens that can have been used some time after the report.
     *
     * @param elapsedNanos the time since the report, in nanoseconds
     */
    public long maxUsed(long elapsedNanos) {
      double steady = tokensPerSecond * (elapsedNanos / NANOS_PER_SECOND);
      double outageNanos = Math.max(0, elapsedNanos - OUTAGE_THRESHOLD_NANOS);
      double outage = outageTokensPerSecond * (outageNanos / NANOS_PER_SECOND);
      return usedTokens + burstTokens + (long) Math.ceil(steady + outage);
    }

    /**
     * Returns the granted tokens that are certainly unused some time after the report.
     *
     * @param elapsedNanos the time since the report, in nanoseconds
     * @return the tokens, 0 if all may have been used
     */
    public long unused(long elapsedNanos) {
      return Math.max(0, grantedTokens - maxUsed(elapsedNanos));
    }
  }

  /**
   * Encodes the report.
   *
   * @return the report in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(FIELDS).packString(writer).packLong(sequence);
      packer.packString(clock.boot()).packLong(clock.wallOffsetMillis());
      packer.packLong(nanos).packLong(era).packString(machine);
      packer.packArrayHeader(readings.size());
      for (ClockReading reading : readings) {
        packer.packArrayHeader(READING_FIELDS).packString(reading.instance());
        packer.packLong(reading.wallMillis());
      }
      packer.packArrayHeader(usages.size());
      for (CustomerUsage usage : usages) {
        packer.packArrayHeader(USAGE_FIELDS).packString(usage.customer().value());
        packer.packLong(usage.grantedTokens()).packLong(usage.usedTokens());
        packer.packLong(usage.burstTokens()).packLong(usage.tokensPerSecond());
        packer.packLong(usage.outageTokensPerSecond());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a usage report").withCause(e);
    }
  }

  /**
   * Decodes a report.
   *
   * @param bytes the encoded report
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes cannot be
   *     decoded
   */
  public static UsageReport parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackArrayHeader() != FIELDS) {
        throw new IOException("wrong number of fields");
      }
      String writer = unpacker.unpackString();
      long sequence = unpacker.unpackLong();
      MachineClock clock = new MachineClock(unpacker.unpackString(), unpacker.unpackLong());
      long nanos = unpacker.unpackLong();
      long era = unpacker.unpackLong();
      String machine = unpacker.unpackString();
      List<ClockReading> readings = new ArrayList<>();
      int readingCount = unpacker.unpackArrayHeader();
      for (int i = 0; i < readingCount; i++) {
        readings.add(parseReading(unpacker));
      }
      int count = unpacker.unpackArrayHeader();
      List<CustomerUsage> usages = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        usages.add(parseUsage(unpacker));
      }
      return new UsageReport(writer, sequence, clock, nanos, era, machine, readings, usages);
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "usage report cannot be decoded")
          .withCause(e);
    }
  }

  private static ClockReading parseReading(MessageUnpacker unpacker) throws IOException {
    if (unpacker.unpackArrayHeader() != READING_FIELDS) {
      throw new IOException("wrong number of fields in a reading of a clock");
    }
    return new ClockReading(unpacker.unpackString(), unpacker.unpackLong());
  }

  private static CustomerUsage parseUsage(MessageUnpacker unpacker) throws IOException {
    if (unpacker.unpackArrayHeader() != USAGE_FIELDS) {
      throw new IOException("wrong number of fields in the usage of a customer");
    }
    return new CustomerUsage(
        CustomerId.of(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
