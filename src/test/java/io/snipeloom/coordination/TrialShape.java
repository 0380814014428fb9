package io.snipeloom.coordination;

import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import java.util.List;

/** The upstreams and traffic of a user, at a scale. */
record TrialShape(String name, int zones, Service model, Service plain) {
  static final TrialShape KILIMANJARO =
      new TrialShape(
          "Kilimanjaro",
          3,
          new Service(
              "drafting",
              6,
              16,
              List.of(
                  new Traffic("draft", Urgency.PROMPT, 0.7, 160, 60, 2_000),
                  new Traffic("summary", Urgency.CAN_WAIT, 0.3, 480, 300, 2_000))),
          new Service(
              "desk",
              3,
              8,
              List.of(
                  new Traffic("vote", Urgency.NOT_REPEATABLE, 0.2, 0, 10, 400),
                  new Traffic("status", Urgency.LOOKUP, 0.8, 0, 2, 400))));
  static final TrialShape CAVES =
      new TrialShape(
          "Caves Ouvertes",
          4,
          new Service(
              "assistant",
              13,
              16,
              List.of(
                  new Traffic("pairing", Urgency.PROMPT, 0.8, 120, 60, 2_000),
                  new Traffic("itinerary", Urgency.CAN_WAIT, 0.2, 640, 300, 2_000))),
          new Service(
              "booking",
              4,
              8,
              List.of(
                  new Traffic("confirm", Urgency.NOT_REPEATABLE, 0.2, 0, 10, 400),
                  new Traffic("availability", Urgency.LOOKUP, 0.8, 0, 2, 400))));

  /**
   * The traffic of one class.
   *
   * @param share its share of the requests of the service
   * @param meanTokens the mean output of a model's answer; 0 for a plain call
   * @param deadlineSeconds the deadline
   * @param queueLimit the most that wait at one router
   */
  record Traffic(
      String name,
      Urgency urgency,
      double share,
      int meanTokens,
      int deadlineSeconds,
      int queueLimit) {}

  /** An upstream with its traffic. */
  record Service(String name, int replicas, int capacity, List<Traffic> traffic) {
    boolean isModel() {
      return traffic.get(0).meanTokens() > 0;
    }

    RequestClass requestClass(Traffic kind) {
      return new RequestClass(
          RequestClassId.of(kind.name()),
          kind.urgency(),
          UpstreamId.of(name),
          null,
          4096,
          0,
          kind.deadlineSeconds() * 1000L,
          kind.queueLimit());
    }
  }

  static List<TrialShape> all() {
    return List.of(KILIMANJARO, CAVES);
  }

  List<Service> services() {
    return List.of(model, plain);
  }
}
