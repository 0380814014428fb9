package io.snipeloom.resumption;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Finds the origins of streams that callers resume.
 *
 * <p>If only one origin is possible according to the declarations, it is the answer. The
 * declarations must have been read after the caller resumed its stream: whatever began the stream
 * was declared before its first event, so that this read shows it, whatever this instance has
 * missed before. Otherwise the recorded origins are read, and then the other instances are asked:
 * one that does not know a stream has not begun it. Not thread-safe.
 */
final class OriginSearch {
  /** How long after the first event of a stream its origin may not be recorded yet. */
  private static final long RECORDING_DELAY_NANOS = 300_000_000L;

  /** The longest wait for the store, which takes 0.5 seconds for a call when it is slow. */
  private static final long TIMEOUT_NANOS = 1_200_000_000L;

  /** The pause after the first reads at the start failed. */
  private static final long RETRY_DELAY_NANOS = 500_000_000L;

  /**
   * How long the declarations may be incomplete after the store came back from an older copy, until
   * all instances have declared their origins again.
   */
  private static final long REVERSION_HOLD_NANOS = 5_000_000_000L;

  /** The shortest time between two questions to the other instances. */
  private static final long ASK_INTERVAL_NANOS = 100_000_000L;

  /** The most streams in one question; the others are asked about in the next one. */
  private static final int MAX_ASKED = 400;

  /** The most characters of their attempt IDs, so that question and answer fit into a frame. */
  private static final int MAX_ASKED_CHARS = 16_384;

  private static final long UNKNOWN_ERA = -1;

  /** The era of the store before its first response. */
  private static final long NO_ERA = 0;

  private final OriginStore store;
  private final OriginPeers peers;
  private final String incarnation;
  private final OriginMemory memory;
  private final VersionHistory history;
  private final Listener listener;
  private List<DeclaredOrigin> declared = List.of();
  private long declaredEra;
  private boolean declaredKnown;
  private long lastAskedNanos = Long.MIN_VALUE / 2;
  private List<Waiter> waiters = new ArrayList<>();
  private boolean loaded;
  private boolean searching;

  /** Whether the store has come back from an older copy and may lack declarations for good. */
  private boolean hasLostDeclarations;

  private long era = UNKNOWN_ERA;
  private long lastSearchNanos = Long.MIN_VALUE / 2;
  private long heldUntilNanos = Long.MIN_VALUE / 2;

  /** A caller that waits for the origin of its stream. */
  private static final class Waiter {
    private final Optional<String> attempt;
    private final Predicate<StreamOrigin> isCandidate;
    private final long sinceNanos;
    private final Consumer<OriginLookup> receiver;
    private boolean asked;

    /**
     * Creates a waiter.
     *
     * @param attempt the attempt that began the stream, empty if the caller does not state it
     * @param isCandidate whether an origin is possible as far as the request tells
     */
    private Waiter(
        Optional<String> attempt,
        Predicate<StreamOrigin> isCandidate,
        long sinceNanos,
        Consumer<OriginLookup> receiver) {
      this.attempt = attempt;
      this.isCandidate = isCandidate;
      this.sinceNanos = sinceNanos;
      this.receiver = receiver;
    }

    /** Returns whether the other instances have yet to be asked. */
    private boolean isToBeAsked() {
      return !asked && isAskable();
    }

    private boolean isAskable() {
      return attempt.isPresent() && attempt.get().length() <= OriginMemory.MAX_RECORDED_ID_CHARS;
    }
  }

  /** Receives what is read. */
  interface Listener {

    /** Called with all declarations. */
    void onDeclared(List<DeclaredOrigin> declared);

    /** Called with a batch of recorded origins. */
    void onBatch(OriginBatch batch, long nowNanos);

    /** Called when the store has come back from an older copy of itself. */
    void onReverted(long nowNanos);

    /** Called when the store could not be read. */
    void onReadFailed();
  }

  OriginSearch(
      OriginStore store,
      OriginPeers peers,
      String incarnation,
      OriginMemory memory,
      VersionHistory history,
      Listener listener) {
    this.store = store;
    this.peers = peers;
    this.incarnation = incarnation;
    this.memory = memory;
    this.history = history;
    this.listener = listener;
  }

  /** Looks for the origin of a stream that an attempt began. */
  void find(String attempt, long nowNanos, Consumer<OriginLookup> receiver) {
    Optional<OriginLookup> known = remembered(attempt, OriginLookup.Source.MEMORY);
    if (known.isPresent()) {
      receiver.accept(known.get());
      return;
    }
    await(new Waiter(Optional.of(attempt), origin -> true, nowNanos, receiver));
  }

  /** Looks for the only possible origin of streams at a service. */
  void findOnly(String service, long nowNanos, Consumer<OriginLookup> receiver) {
    Predicate<StreamOrigin> atService = origin -> origin.service().equals(service);
    await(new Waiter(Optional.empty(), atService, nowNanos, receiver));
  }

  private void await(Waiter waiter) {
    waiters.add(waiter);
    search(waiter.sinceNanos);
  }

  /** Starts the reads that are due and ends searches that take too long. */
  void tick(long nowNanos) {
    noticeReversion(nowNanos);
    giveUp(waiter -> nowNanos - waiter.sinceNanos > TIMEOUT_NANOS);
    boolean loadDue = !loaded && nowNanos - lastSearchNanos >= RETRY_DELAY_NANOS;
    if (loadDue || !waiters.isEmpty()) {
      search(nowNanos);
    }
  }

  private void search(long nowNanos) {
    if (searching) {
      return;
    }
    searching = true;
    lastSearchNanos = nowNanos;
    store.listDeclared(
        new OriginStore.ListingListener() {
          @Override
          public void onListed(List<DeclaredOrigin> listed, boolean complete) {
            onDeclared(listed, complete, nowNanos);
          }

          @Override
          public void onFailed() {
            fail();
          }
        });
  }

  /** Applies the declarations as they were at some time after the search began. */
  private void onDeclared(List<DeclaredOrigin> listed, boolean complete, long beganNanos) {
    noticeReversion(beganNanos);
    history.observeDeclared(listed, beganNanos);
    listener.onDeclared(listed);
    declared = listed;
    declaredEra = store.era();
    declaredKnown = complete && beganNanos >= heldUntilNanos;
    if (declaredKnown) {
      answer(waiter -> onlyPossible(waiter, beganNanos));
    }
    if (loaded && waiters.isEmpty()) {
      searching = false;
      return;
    }
    store.readNew(
        new OriginStore.ReadListener() {
          @Override
          public void onRead(List<OriginBatch> batches) {
            onRecorded(batches, beganNanos);
          }

          @Override
          public void onFailed() {
            fail();
          }
        });
  }

  private void onRecorded(List<OriginBatch> batches, long beganNanos) {
    loaded = true;
    batches.forEach(batch -> listener.onBatch(batch, beganNanos));
    answerRemembered(OriginLookup.Source.STORE);
    List<Waiter> unasked =
        beganNanos - lastAskedNanos < ASK_INTERVAL_NANOS ? List.of() : unasked(beganNanos);
    if (unasked.isEmpty()) {
      endSearch(beganNanos);
      return;
    }
    lastAskedNanos = beganNanos;
    List<String> attempts = unasked.stream().flatMap(one -> one.attempt.stream()).toList();
    peers.ask(attempts, answers -> onAnswers(unasked, answers, beganNanos));
  }

  /**
   * Returns those who wait for an answer of the other instances, as many as fit a question. Who
   * came after a search began is left for the next one, since its listing may be too old.
   */
  private List<Waiter> unasked(long beganNanos) {
    List<Waiter> chosen = new ArrayList<>();
    int chars = 0;
    for (Waiter waiter : waiters) {
      int length = waiter.attempt.map(String::length).orElse(0);
      boolean fits = chosen.size() < MAX_ASKED && chars + length <= MAX_ASKED_CHARS;
      if (waiter.isToBeAsked() && waiter.sinceNanos <= beganNanos && fits) {
        chosen.add(waiter);
        chars += length;
      }
    }
    return chosen;
  }

  /** Applies what other instances know, and what is left if they have not begun the streams. */
  private void onAnswers(List<Waiter> asked, List<PeerAnswer> answers, long beganNanos) {
    Set<String> excluded = new HashSet<>();
    for (PeerAnswer one : answers) {
      one.known().forEach(record -> memory.putRecorded(record, beganNanos));
      if (one.complete()) {
        excluded.add(one.incarnation());
      }
    }
    if (memory.isComplete(beganNanos)) {
      excluded.add(incarnation);
    }
    answerRemembered(OriginLookup.Source.PEER);
    asked.forEach(waiter -> waiter.asked = true);
    if (declaredKnown && !hasLostDeclarations) {
      Optional<OriginLookup> left =
          RemainingOrigins.of(declared, history.possibleOrigins(beganNanos), excluded, declaredEra)
              .only()
              .map(origin -> OriginLookup.found(origin, OriginLookup.Source.ONLY_REMAINING));
      answer(waiter -> asked.contains(waiter) ? left : Optional.empty());
    }
    endSearch(beganNanos);
  }

  private void endSearch(long beganNanos) {
    searching = false;
    giveUp(
        waiter -> !waiter.isToBeAsked() && beganNanos - waiter.sinceNanos >= RECORDING_DELAY_NANOS);
  }

  private void answerRemembered(OriginLookup.Source source) {
    answer(waiter -> waiter.attempt.flatMap(one -> remembered(one, source)));
  }

  private void noticeReversion(long nowNanos) {
    if (era != store.era()) {
      boolean reverted = era != UNKNOWN_ERA && loaded;
      hasLostDeclarations = hasLostDeclarations || era > NO_ERA;
      era = store.era();
      if (reverted) {
        heldUntilNanos = nowNanos + REVERSION_HOLD_NANOS;
        listener.onReverted(nowNanos);
      }
    }
  }

  private Optional<OriginLookup> remembered(String attempt, OriginLookup.Source source) {
    return memory.find(attempt).map(found -> OriginLookup.found(found, source));
  }

  /** Returns the only possible origin if the declarations were read after the caller came. */
  private Optional<OriginLookup> onlyPossible(Waiter waiter, long beganNanos) {
    List<StreamOrigin> possible =
        history.possibleOrigins(beganNanos).stream().filter(waiter.isCandidate).toList();
    return waiter.sinceNanos <= beganNanos && possible.size() == 1
        ? Optional.of(OriginLookup.found(possible.get(0), OriginLookup.Source.ONLY_POSSIBLE))
        : Optional.empty();
  }

  private interface Resolver {
    Optional<OriginLookup> resolve(Waiter waiter);
  }

  private void answer(Resolver resolver) {
    List<Waiter> open = waiters;
    waiters = new ArrayList<>();
    for (Waiter waiter : open) {
      Optional<OriginLookup> found = resolver.resolve(waiter);
      if (found.isPresent()) {
        waiter.receiver.accept(found.get());
      } else {
        waiters.add(waiter);
      }
    }
  }

  private void fail() {
    searching = false;
    listener.onReadFailed();
    giveUp(waiter -> true);
  }

  private void giveUp(Predicate<Waiter> isHopeless) {
    List<Waiter> hopeless = waiters.stream().filter(isHopeless).toList();
    waiters.removeAll(hopeless);
    hopeless.forEach(waiter -> waiter.receiver.accept(OriginLookup.unknown()));
  }
}
