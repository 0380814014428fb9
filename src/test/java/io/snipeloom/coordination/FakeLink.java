package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Zone;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

/** A link whose state is set by the test and which sends no messages. */
final class FakeLink implements SidecarLink {
  static final UpstreamId UPSTREAM = UpstreamId.of("drafting");
  static final ModelId MODEL = ModelId.of("m1");

  private final Instance instance;
  private final LongSupplier nanoClock;
  private Message.Heartbeat load = new Message.Heartbeat(0, 0, 0);
  private long loadSentNanos;
  boolean connected = true;
  boolean leaving;
  int generation = 1;

  FakeLink(Instance instance, LongSupplier nanoClock) {
    this.instance = instance;
    this.nanoClock = nanoClock;
    this.loadSentNanos = nanoClock.getAsLong();
  }

  static Instance sidecar(String id, String zone) {
    return sidecar(id, zone, UPSTREAM);
  }

  static Instance sidecar(String id, String zone, UpstreamId upstream) {
    return new Instance(
        InstanceId.of(id), Instance.Role.SIDECAR, Zone.of(zone), upstream, "127.0.0.1", 1, false);
  }

  static Instance router(String id, String zone) {
    return new Instance(
        InstanceId.of(id), Instance.Role.ROUTER, Zone.of(zone), null, "127.0.0.1", 1, false);
  }

  static BackEnd backEnd(String id, String zone, LongSupplier nanoClock) {
    return BackEnd.of(new FakeLink(sidecar(id, zone), nanoClock), Set.of(MODEL));
  }

  static FakeLink of(BackEnd backEnd) {
    return (FakeLink) backEnd.link();
  }

  void setLoad(int running, int queued, int capacity, long sentNanos) {
    load = new Message.Heartbeat(running, queued, capacity);
    loadSentNanos = sentNanos;
  }

  @Override
  public Instance instance() {
    return instance;
  }

  @Override
  public Optional<Incarnation> incarnation() {
    return connected
        ? Optional.of(Incarnation.of(instance.id() + "#" + generation))
        : Optional.empty();
  }

  @Override
  public boolean isUsable() {
    return connected && !leaving;
  }

  @Override
  public Message.Heartbeat load() {
    return load;
  }

  @Override
  public long loadAgeMillis() {
    return (nanoClock.getAsLong() - loadSentNanos) / 1_000_000;
  }

  @Override
  public void dispatch(Message.Dispatch dispatch, AnswerListener listener) {}

  @Override
  public void attach(Message.Attach attach, AnswerListener listener) {}

  @Override
  public void acknowledge(AttemptId attempt, long nextSequence) {}

  @Override
  public void cancel(AttemptId attempt) {}

  @Override
  public CompletionStage<Message.CallStatus> query(Message.CallQuery query) {
    return new CompletableFuture<>();
  }
}
