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
 * What an incarnation of an instance states about its claims at one moment.
 *
 * <p>From the moment on it binds itself to a use that grows with time. So the next incarnation on
 * the same machine, which exists only once this one is dead and reads the same monotonic clock, can
 * tell how much this one has used at most, and takes over the rest.
 *
 * @param writer the incarnation
 * @param sequence numbers the reports of the writer
 * @param clock identifies the clock of the machine
 * @param nanos the monotonic clock of the machine when the statement was made
 * @param uses what is stated of each customer
 */
public record UsageReport(
    String writer, long sequence, MachineClock clock, long nanos, List<Use> uses) {
  private static final int FIELDS = 6;
  private static final int USE_FIELDS = 6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Only after this time without a further report may the writer use more than its recent rate. A
   * restarted instance is back sooner, so that little of what its predecessor held is lost; the
   * store is away for longer if the writer still lives.
   */
  private static final long OUTAGE_NANOS = 1_200_000_000L;

  /** Copies the uses. */
  public UsageReport {
    uses = List.copyOf(uses);
  }

  /**
   * The statement about one customer.
   *
   * @param customer the customer
   * @param grantedTokens the tokens claimed so far
   * @param usedTokens the tokens spent, reserved or returned so far
   * @param burstTokens the tokens that may be used beyond that at once
   * @param tokensPerSecond the tokens that may be used beyond that with each second
   * @param outageTokensPerSecond the tokens that may be used beyond that with each second of an
   *     outage of the store
   */
  public record Use(
      CustomerId customer,
      long grantedTokens,
      long usedTokens,
      long burstTokens,
      long tokensPerSecond,
      long outageTokensPerSecond) {

    /**
     * Returns the most tokens that are used after some time.
     *
     * @param elapsedNanos the time since the report
     * @return the tokens
     */
    public long mostUsed(long elapsedNanos) {
      double steady = tokensPerSecond * (elapsedNanos / NANOS_PER_SECOND);
      double outageNanos = Math.max(0, elapsedNanos - OUTAGE_NANOS);
      double outage = outageTokensPerSecond * (outageNanos / NANOS_PER_SECOND);
      return usedTokens + burstTokens + (long) Math.ceil(steady + outage);
    }

    /**
     * Returns the tokens that are certainly unused after some time.
     *
     * @param elapsedNanos the time since the report
     * @return the tokens, 0 if all may be used
     */
    public long unused(long elapsedNanos) {
      return Math.max(0, grantedTokens - mostUsed(elapsedNanos));
    }
  }

  /**
   * Returns the encoded form.
   *
   * @return the bytes
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(FIELDS).packString(writer).packLong(sequence);
      packer.packString(clock.boot()).packLong(clock.wallOffsetMillis());
      packer.packLong(nanos).packArrayHeader(uses.size());
      for (Use use : uses) {
        packer.packArrayHeader(USE_FIELDS).packString(use.customer().value());
        packer.packLong(use.grantedTokens()).packLong(use.usedTokens());
        packer.packLong(use.burstTokens()).packLong(use.tokensPerSecond());
        packer.packLong(use.outageTokensPerSecond());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a usage report").withCause(e);
    }
  }

  /**
   * Decodes a report.
   *
   * @param bytes the encoded form
   * @return the report
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes are no report
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
      int count = unpacker.unpackArrayHeader();
      List<Use> uses = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        uses.add(use(unpacker));
      }
      return new UsageReport(writer, sequence, clock, nanos, uses);
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "usage report cannot be decoded")
          .withCause(e);
    }
  }

  private static Use use(MessageUnpacker unpacker) throws IOException {
    if (unpacker.unpackArrayHeader() != USE_FIELDS) {
      throw new IOException("wrong number of fields of a use");
    }
    return new Use(
        CustomerId.of(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
