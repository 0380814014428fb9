package io.snipeloom.resumption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A store of origins that several instances share and whose calls end at once. */
final class SharedOriginStore {
  private final List<OriginBatch> batches = new ArrayList<>();
  private final Map<String, DeclaredOrigin> declared = new HashMap<>();
  private final List<DeclaredOrigin> late = new ArrayList<>();
  private Map<String, DeclaredOrigin> copy = Map.of();
  private int copiedBatches;
  private long era = 1;
  private int declarations;
  private int listedRecords;
  private boolean down;
  private boolean unreadable;

  /** Loses all declarations. */
  void revert() {
    era++;
    declared.clear();
  }

  /** Keeps a copy, to which {@link #revertToCopy} goes back. */
  void copy() {
    copy = Map.copyOf(declared);
    copiedBatches = batches.size();
  }

  /** Comes back from the last copy; what was written since is lost. */
  void revertToCopy() {
    era++;
    declared.clear();
    declared.putAll(copy);
    batches.subList(copiedBatches, batches.size()).clear();
  }

  /** Executes the declarations that were under way when their instances were cut off. */
  void executeLate() {
    late.forEach(one -> declared.put(one.text(), one));
    late.clear();
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  /** Makes a declaration unreadable. */
  void setUnreadable() {
    unreadable = true;
  }

  List<OriginBatch> batches() {
    return batches;
  }

  /** Returns the incarnations that have declared an origin. */
  List<String> declarersOf(StreamOrigin origin) {
    return declared.values().stream()
        .filter(one -> one.origin().equals(origin))
        .map(DeclaredOrigin::incarnation)
        .toList();
  }

  /** Returns how many declarations all listings together had. */
  int listedRecords() {
    return listedRecords;
  }

  /** Returns the view of one incarnation of an instance. */
  Member member(String instance, String incarnation) {
    return new Member(instance, incarnation);
  }

  /** The view of one incarnation of an instance. */
  final class Member implements OriginStore {
    private final String instance;
    private final String incarnation;
    private boolean cut;
    private boolean holdsListings;
    private Runnable heldListing;
    private int next;
    private long readEra = 1;
    private long knownEra;

    private Member(String instance, String incarnation) {
      this.instance = instance;
      this.incarnation = incarnation;
    }

    String instance() {
      return instance;
    }

    String incarnation() {
      return incarnation;
    }

    /** Cuts the instance off from the store. */
    void cutOff() {
      cut = true;
    }

    /** Lets the instance reach the store again. */
    void reconnect() {
      cut = false;
    }

    /** Holds the next listing back, as it is when it is asked for, until it is released. */
    void holdListing() {
      holdsListings = true;
    }

    /** Lets the listing arrive that was held back. */
    void releaseListing() {
      holdsListings = false;
      heldListing.run();
    }

    private boolean isReachable() {
      return !down && !cut;
    }

    @Override
    public long era() {
      if (isReachable() && knownEra != era) {
        knownEra = era;
        next = 0;
      }
      return knownEra;
    }

    @Override
    public void declare(StreamOrigin origin, Consumer<Boolean> listener) {
      declarations++;
      DeclaredOrigin one =
          new DeclaredOrigin(origin, "d" + declarations, instance, incarnation, era());
      if (isReachable()) {
        declared.put(one.text(), one);
      } else {
        late.add(one);
      }
      listener.accept(isReachable());
    }

    @Override
    public void retire(DeclaredOrigin one, Consumer<Boolean> listener) {
      if (isReachable()) {
        declared.remove(one.text());
      }
      listener.accept(isReachable());
    }

    @Override
    public void listDeclared(ListingListener listener) {
      if (isReachable()) {
        listedRecords += declared.size();
        List<DeclaredOrigin> listed = List.copyOf(declared.values());
        heldListing = () -> listener.onListed(listed, !unreadable);
        if (!holdsListings) {
          heldListing.run();
        }
      } else {
        listener.onFailed();
      }
    }

    @Override
    public void append(OriginBatch batch, Consumer<Boolean> listener) {
      if (isReachable()) {
        batches.add(batch);
      }
      listener.accept(isReachable());
    }

    @Override
    public void readNew(ReadListener listener) {
      if (!isReachable()) {
        listener.onFailed();
        return;
      }
      if (readEra != era) {
        readEra = era;
        next = 0;
      }
      List<OriginBatch> read = List.copyOf(batches.subList(next, batches.size()));
      next = batches.size();
      listener.onRead(read);
    }
  }
}
