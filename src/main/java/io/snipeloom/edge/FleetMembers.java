package io.snipeloom.edge;

import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreAnswer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Knows the instances of the fleet by their heartbeats in the store.
 *
 * <p>An instance counts while its heartbeat changes between two looks. The count only divides
 * shares (of retries, of tokens claimed ahead) and the addresses only tell whom to ask for loans,
 * so a wrong one costs refusals but breaks no promise. Belongs to its event loop.
 */
final class FleetMembers {
  /** The count assumed before the first two looks. */
  static final int ASSUMED_SIZE = 4;

  /** A heartbeat that did not change over this many looks is of an instance that is gone. */
  private static final int MISSED_LOOKS = 3;

  private static final String TOPIC = "members";

  /** The last field of a heartbeat, an IP address with a port. */
  private static final Pattern ADDRESS = Pattern.compile(" ([0-9a-f.:]+):([0-9]{1,5})$");

  private final KeyedLog log;
  private final String instance;
  private final InetSocketAddress self;
  private final Listener listener;
  private final Map<String, Seen> seen = new HashMap<>();
  private long beats;
  private int looks;

  private record Seen(String heartbeat, int look) {}

  /** Takes what was found. */
  interface Listener {

    /**
     * The store was looked at.
     *
     * @param size the number of live instances, at least 1
     * @param others the addresses of the others for loans, by name
     */
    void onMembers(int size, Map<String, InetSocketAddress> others);
  }

  /**
   * Creates the members of a fleet of which nothing is known yet.
   *
   * @param log the store
   * @param instance the name of this instance
   * @param self the address at which it lends
   * @param listener takes what is found
   */
  FleetMembers(KeyedLog log, String instance, InetSocketAddress self, Listener listener) {
    this.log = log;
    this.instance = instance;
    this.self = self;
    this.listener = listener;
  }

  /** Sends a heartbeat and looks at those of the others. */
  void beat(String incarnation) {
    beats++;
    String address = self.getAddress().getHostAddress() + ":" + self.getPort();
    String heartbeat = String.join(" ", incarnation, Long.toString(beats), address);
    byte[] value = heartbeat.getBytes(StandardCharsets.UTF_8);
    log.append(TOPIC, 0, new KeyedRecord(instance, value), answer -> look());
  }

  private void look() {
    log.newest(
        TOPIC,
        0,
        "",
        (answer, page) -> {
          if (answer == StoreAnswer.DONE) {
            looks++;
            page.records().forEach(this::see);
            Map<String, Seen> live = live();
            listener.onMembers(Math.max(1, live.size()), others(live));
          }
        });
  }

  /** Heartbeats of instances that are gone stay in the store, so they are remembered as old. */
  private Map<String, Seen> live() {
    Map<String, Seen> live = new HashMap<>(seen);
    live.values().removeIf(last -> looks - last.look() >= MISSED_LOOKS);
    return live;
  }

  private Map<String, InetSocketAddress> others(Map<String, Seen> live) {
    Map<String, InetSocketAddress> others = new HashMap<>();
    live.forEach(
        (name, last) -> {
          if (!name.equals(instance)) {
            address(last.heartbeat()).ifPresent(address -> others.put(name, address));
          }
        });
    return others;
  }

  /** Heartbeats of other versions may name no address; their instances are not asked for loans. */
  private static Optional<InetSocketAddress> address(String heartbeat) {
    Matcher matcher = ADDRESS.matcher(heartbeat);
    return matcher.find()
        ? Optional.of(new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))))
        : Optional.empty();
  }

  private void see(KeyedRecord record) {
    String heartbeat = new String(record.value(), StandardCharsets.UTF_8);
    Seen before = seen.get(record.key());
    if (before == null || !before.heartbeat().equals(heartbeat)) {
      seen.put(record.key(), new Seen(heartbeat, looks));
    }
  }
}
