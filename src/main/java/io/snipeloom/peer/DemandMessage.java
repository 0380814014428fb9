package io.snipeloom.peer;

import io.snipeloom.routing.AskedRequests;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.ObservedWork;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.ReplicaDemand;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.SentPrompt;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** A message by which an instance tells another one of its unfinished requests. */
sealed interface DemandMessage extends PeerMessage {
  /** The version of the encoding, which no other message between instances uses. */
  int VERSION = 3;

  /** The most entries of a list in a report; a longer list is malformed. */
  int MAX_ENTRIES = 1_024;

  /**
   * Returns the number of the report on its connection, from 1.
   *
   * @return the number
   */
  long sequence();

  /**
   * Tells of unfinished requests.
   *
   * @param sequence the number of the report on its connection
   * @param report the report
   */
  record Report(long sequence, DemandReport report) implements DemandMessage {}

  /**
   * Acknowledges all reports up to one.
   *
   * @param sequence the number of that report
   * @param wallMillis the time of day of the instance that acknowledges it
   */
  record Acknowledgement(long sequence, long wallMillis) implements DemandMessage {}

  @Override
  default byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(sequence());
      if (this instanceof Report told) {
        packer.packBoolean(true);
        pack(packer, told.report());
      } else if (this instanceof Acknowledgement acknowledgement) {
        packer.packBoolean(false).packLong(acknowledgement.wallMillis());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode demand message").withCause(e);
    }
  }

  private static void pack(MessageBufferPacker packer, DemandReport report) throws IOException {
    packer.packString(report.instance());
    packer.packArrayHeader(report.demands().size());
    for (ReplicaDemand demand : report.demands()) {
      packer.packString(demand.replica().value());
      packer.packInt(demand.inFlight()).packLong(demand.pendingTokens());
    }
    packer.packArrayHeader(report.prompts().size());
    for (SentPrompt prompt : report.prompts()) {
      packer.packString(prompt.replica().value());
      packer.packArrayHeader(prompt.parts().size());
      for (PromptPart part : prompt.parts()) {
        packer.packString(part.id()).packLong(part.tokens());
      }
    }
    packWork(packer, report);
    packAsked(packer, report.asked());
  }

  /**
   * Appends the work of the demands, in their order. Instances that know nothing of it ignore what
   * follows the prompts; a report without any work and received requests ends there.
   */
  private static void packWork(MessageBufferPacker packer, DemandReport report) throws IOException {
    List<ReplicaDemand> demands = report.demands();
    boolean unobserved =
        demands.stream().allMatch(demand -> demand.work().equals(ObservedWork.NONE));
    if (unobserved && report.asked().isEmpty()) {
      return;
    }
    packer.packArrayHeader(demands.size());
    for (ReplicaDemand demand : demands) {
      ObservedWork work = demand.work();
      packer.packLong(work.outputLeft()).packLong(work.heldTokens());
      packer.packInt(work.pacePercent()).packInt(work.statedPercent());
    }
  }

  /** Appends the received requests; instances that know nothing of them ignore what follows. */
  private static void packAsked(MessageBufferPacker packer, List<AskedRequests> asked)
      throws IOException {
    if (asked.isEmpty()) {
      return;
    }
    packer.packArrayHeader(asked.size());
    for (AskedRequests one : asked) {
      packer.packString(one.kind()).packString(one.customer().value()).packInt(one.requests());
    }
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the frame without its length
   * @return the message
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_FRAME} if the frame is malformed or
   *     has an unsupported version
   */
  static DemandMessage parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != VERSION) {
        throw new IOException("unsupported version");
      }
      long sequence = unpacker.unpackLong();
      return unpacker.unpackBoolean()
          ? new Report(sequence, report(unpacker))
          : new Acknowledgement(sequence, unpacker.unpackLong());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "cannot decode demand message")
          .withCause(e);
    }
  }

  private static DemandReport report(MessageUnpacker unpacker) throws IOException {
    String instance = unpacker.unpackString();
    List<ReplicaDemand> demands = new ArrayList<>();
    int demandCount = entries(unpacker);
    for (int i = 0; i < demandCount; i++) {
      demands.add(
          new ReplicaDemand(
              new ReplicaId(unpacker.unpackString()), unpacker.unpackInt(), unpacker.unpackLong()));
    }
    List<SentPrompt> prompts = new ArrayList<>();
    int promptCount = entries(unpacker);
    for (int i = 0; i < promptCount; i++) {
      prompts.add(new SentPrompt(new ReplicaId(unpacker.unpackString()), parts(unpacker)));
    }
    return new DemandReport(instance, withWork(unpacker, demands), prompts, asked(unpacker));
  }

  private static List<AskedRequests> asked(MessageUnpacker unpacker) throws IOException {
    List<AskedRequests> asked = new ArrayList<>();
    int count = unpacker.hasNext() ? entries(unpacker) : 0;
    for (int i = 0; i < count; i++) {
      asked.add(
          new AskedRequests(
              unpacker.unpackString(),
              CustomerId.of(unpacker.unpackString()),
              unpacker.unpackInt()));
    }
    return asked;
  }

  private static List<ReplicaDemand> withWork(MessageUnpacker unpacker, List<ReplicaDemand> demands)
      throws IOException {
    if (!unpacker.hasNext()) {
      return demands;
    }
    int count = entries(unpacker);
    if (count != demands.size()) {
      throw new IOException("work of " + count + " replicas, demands of " + demands.size());
    }
    List<ReplicaDemand> complete = new ArrayList<>();
    for (ReplicaDemand demand : demands) {
      ObservedWork work =
          new ObservedWork(
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackInt(),
              unpacker.unpackInt());
      complete.add(
          new ReplicaDemand(demand.replica(), demand.inFlight(), demand.pendingTokens(), work));
    }
    return complete;
  }

  private static List<PromptPart> parts(MessageUnpacker unpacker) throws IOException {
    List<PromptPart> parts = new ArrayList<>();
    int count = entries(unpacker);
    for (int i = 0; i < count; i++) {
      parts.add(new PromptPart(unpacker.unpackString(), unpacker.unpackLong()));
    }
    return parts;
  }

  private static int entries(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_ENTRIES) {
      throw new IOException("a list has " + count + " entries");
    }
    return count;
  }
}
