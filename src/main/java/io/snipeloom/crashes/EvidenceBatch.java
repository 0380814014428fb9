package io.snipeloom.crashes;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The evidence that one instance records with one call to the store. Immutable.
 *
 * @param crashes the crashes that it saw, with the parts in flight
 * @param sound suspected parts of requests that replicas survived
 * @param requestCrashes the replicas that ended under single requests
 * @param completions suspected requests that replicas ran to a good end
 */
public record EvidenceBatch(
    List<CrashReport> crashes,
    List<SoundTrait> sound,
    List<RequestCrash> requestCrashes,
    List<CompletedRequest> completions) {
  /** The version of the encoding; batches of any other version are rejected. */
  private static final int ENCODING_VERSION = 2;

  /** Makes immutable copies of the lists. */
  public EvidenceBatch {
    crashes = List.copyOf(crashes);
    sound = List.copyOf(sound);
    requestCrashes = List.copyOf(requestCrashes);
    completions = List.copyOf(completions);
  }

  /**
   * Encodes the batch.
   *
   * @return the batch in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(ENCODING_VERSION).packArrayHeader(crashes.size());
      for (CrashReport crash : crashes) {
        pack(packer, crash);
      }
      packer.packArrayHeader(sound.size());
      for (SoundTrait one : sound) {
        packer.packString(one.trait().toString()).packLong(one.ageMillis());
      }
      packRequests(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode crash evidence").withCause(e);
    }
  }

  private void packRequests(MessageBufferPacker packer) throws IOException {
    packer.packArrayHeader(requestCrashes.size());
    for (RequestCrash one : requestCrashes) {
      packer.packString(one.request().toString()).packString(one.service());
      packer.packString(one.replica()).packLong(one.ageMillis());
    }
    packer.packArrayHeader(completions.size());
    for (CompletedRequest one : completions) {
      packer.packString(one.request().toString()).packString(one.service());
      packer.packLong(one.sentMillisAgo());
    }
  }

  private static void pack(MessageBufferPacker packer, CrashReport crash) throws IOException {
    packer.packString(crash.replica()).packLong(crash.ageMillis()).packInt(crash.attempts());
    packer.packArrayHeader(crash.suspects().size());
    for (Suspect suspect : crash.suspects()) {
      packer.packString(suspect.trait().toString());
      packer.packLong(suspect.sentMillisBefore());
      packer.packString(suspect.request()).packDouble(suspect.share());
    }
  }

  /**
   * Decodes a batch.
   *
   * @param bytes the encoded batch
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes cannot be
   *     decoded
   */
  public static EvidenceBatch parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != ENCODING_VERSION) {
        throw new IOException("unsupported version");
      }
      int crashCount = unpacker.unpackArrayHeader();
      List<CrashReport> crashes = new ArrayList<>();
      for (int i = 0; i < crashCount; i++) {
        crashes.add(parseCrash(unpacker));
      }
      int soundCount = unpacker.unpackArrayHeader();
      List<SoundTrait> sound = new ArrayList<>();
      for (int i = 0; i < soundCount; i++) {
        sound.add(
            new SoundTrait(RequestTrait.parse(unpacker.unpackString()), unpacker.unpackLong()));
      }
      return new EvidenceBatch(
          crashes, sound, parseRequestCrashes(unpacker), parseCompletions(unpacker));
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "crash evidence cannot be decoded")
          .withCause(e);
    }
  }

  private static List<RequestCrash> parseRequestCrashes(MessageUnpacker unpacker)
      throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<RequestCrash> crashes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RequestTrait request = RequestTrait.parse(unpacker.unpackString());
      crashes.add(
          new RequestCrash(
              request, unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong()));
    }
    return crashes;
  }

  private static List<CompletedRequest> parseCompletions(MessageUnpacker unpacker)
      throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<CompletedRequest> completions = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RequestTrait request = RequestTrait.parse(unpacker.unpackString());
      completions.add(
          new CompletedRequest(request, unpacker.unpackString(), unpacker.unpackLong()));
    }
    return completions;
  }

  private static CrashReport parseCrash(MessageUnpacker unpacker) throws IOException {
    String replica = unpacker.unpackString();
    long ageMillis = unpacker.unpackLong();
    int attempts = unpacker.unpackInt();
    int count = unpacker.unpackArrayHeader();
    List<Suspect> suspects = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RequestTrait trait = RequestTrait.parse(unpacker.unpackString());
      suspects.add(
          new Suspect(
              trait, unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackDouble()));
    }
    return new CrashReport(replica, ageMillis, attempts, suspects);
  }
}
