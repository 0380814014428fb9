package io.snipeloom.resumption;

import io.snipeloom.routing.Replica;
import io.snipeloom.routing.SoftwareVersion;

/**
 * What produced the first event of a stream. The stream may go on only at replicas of the same
 * origin.
 *
 * @param service the service of the replica
 * @param version the software version of the replica
 */
public record StreamOrigin(String service, SoftwareVersion version) {

  /** Returns the origin of a stream whose first event comes from the given replica. */
  public static StreamOrigin of(Replica replica) {
    return new StreamOrigin(replica.service(), replica.version());
  }

  /** Returns a text that no other origin has. */
  public String text() {
    return service.length() + ":" + service + version.value();
  }

  /** Returns whether a stream of this origin may go on at the given replica. */
  public boolean isOriginOf(Replica replica) {
    return equals(of(replica));
  }
}
