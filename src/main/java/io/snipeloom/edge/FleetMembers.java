package io.snipeloom.edge;

import io.snipeloom.routing.ShareRoster;
import io.snipeloom.routing.SocketAddresses;
import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreOutcome;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tracks the live instances of the fleet by the heartbeats that they write to the store.
 *
 * <p>An instance is live while its heartbeat keeps changing. The number of live instances only sets
 * the share of each one in the fleet's retries and in the tokens claimed ahead, and the addresses
 * are only used to ask for loans. An outdated number or address can therefore cause refused
 * requests, but breaks no guarantee. Bounds that hold in sum whatever an instance knows are divided
 * by the {@link ShareRoster}. Confined to the event loop thread.
 */
final class FleetMembers {
  /** The fleet size assumed until the store has been polled. */
  static final int ASSUMED_SIZE = 4;

  /** An instance whose heartbeat stays the same for this many polls is no longer live. */
  private static final int MAX_UNCHANGED_POLLS = 3;

  private static final String TOPIC = "members";

  /** The last field of a heartbeat: IP address and port. */
  private static final Pattern ADDRESS = Pattern.compile(" ([0-9.:]+)$");

  private final KeyedLog log;
  private final String instance;
  private final InetSocketAddress ownAddress;
  private final ShareRoster roster;
  private final Listener listener;
  private final Map<String, Heartbeat> heartbeats = new HashMap<>();
  private long sequence;
  private int polls;

  /** A heartbeat and the number of the poll that first found it. */
  private record Heartbeat(String text, int poll) {}

  /** Receives the live instances. */
  interface Listener {

    /**
     * Called after each successful poll of the store.
     *
     * @param size the number of live instances including this one, at least 1
     * @param others the loan addresses of the other live instances, by instance name
     */
    void onMembers(int size, Map<String, InetSocketAddress> others);
  }

  /**
   * Creates a tracker that knows no instances yet.
   *
   * @param log the store
   * @param instance the name of this instance
   * @param ownAddress the loan address of this instance, which its heartbeats publish
   * @param roster is told of the heartbeats, by which bounds are divided
   * @param listener receives the live instances after each poll
   */
  FleetMembers(
      KeyedLog log,
      String instance,
      InetSocketAddress ownAddress,
      ShareRoster roster,
      Listener listener) {
    this.log = log;
    this.instance = instance;
    this.ownAddress = ownAddress;
    this.roster = roster;
    this.listener = listener;
  }

  /** Writes a heartbeat of this instance, then polls the heartbeats of all instances. */
  void sendHeartbeat(String incarnation) {
    sequence++;
    String address = ownAddress.getAddress().getHostAddress() + ":" + ownAddress.getPort();
    String heartbeat = String.join(" ", incarnation, Long.toString(sequence), address);
    byte[] value = heartbeat.getBytes(StandardCharsets.UTF_8);
    long sentNanos = System.nanoTime();
    log.append(
        TOPIC,
        0,
        new KeyedRecord(instance, value),
        outcome -> {
          if (outcome == StoreOutcome.DONE) {
            roster.onHeartbeat(sentNanos, System.nanoTime());
          }
          poll("", new HashMap<>(), System.nanoTime());
        });
  }

  private void poll(String afterKey, Map<String, String> listing, long sentNanos) {
    log.newest(
        TOPIC,
        0,
        afterKey,
        (outcome, page) -> {
          if (outcome != StoreOutcome.DONE) {
            return;
          }
          for (KeyedRecord record : page.records()) {
            listing.put(record.key(), new String(record.value(), StandardCharsets.UTF_8));
          }
          if (page.hasMore()) {
            poll(page.lastKey(), listing, sentNanos);
          } else {
            onListing(listing, sentNanos);
          }
        });
  }

  private void onListing(Map<String, String> listing, long sentNanos) {
    polls++;
    listing.forEach(this::update);
    roster.onListing(listing, sentNanos, System.nanoTime());
    Map<String, Heartbeat> live = live();
    listener.onMembers(Math.max(1, live.size()), others(live));
  }

  /**
   * Returns the heartbeats of live instances. The store keeps the last heartbeat of an instance
   * that is gone, so {@link #heartbeats} keeps it too: dropping it would make it look new at the
   * next poll.
   */
  private Map<String, Heartbeat> live() {
    Map<String, Heartbeat> live = new HashMap<>(heartbeats);
    live.values().removeIf(heartbeat -> polls - heartbeat.poll() >= MAX_UNCHANGED_POLLS);
    return live;
  }

  private Map<String, InetSocketAddress> others(Map<String, Heartbeat> live) {
    Map<String, InetSocketAddress> others = new HashMap<>();
    live.forEach(
        (name, heartbeat) -> {
          if (!name.equals(instance)) {
            address(heartbeat.text()).ifPresent(address -> others.put(name, address));
          }
        });
    return others;
  }

  /**
   * Returns the loan address in a heartbeat. Instances of other versions may publish none; they are
   * counted but not asked for loans.
   */
  private static Optional<InetSocketAddress> address(String heartbeat) {
    Matcher matcher = ADDRESS.matcher(heartbeat);
    return matcher.find() ? SocketAddresses.parse(matcher.group(1)) : Optional.empty();
  }

  private void update(String name, String text) {
    Heartbeat previous = heartbeats.get(name);
    if (previous == null || !previous.text().equals(text)) {
      heartbeats.put(name, new Heartbeat(text, polls));
    }
  }
}
