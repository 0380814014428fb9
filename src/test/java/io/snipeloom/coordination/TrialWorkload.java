package io.snipeloom.coordination;

import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import java.util.List;

/** A workload of the routing trial: a model upstream and a plain service, each with its traffic. */
record TrialWorkload(String name, int zones, Service model, Service plain) {
  static final TrialWorkload KILIMANJARO =
      new TrialWorkload(
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
  static final TrialWorkload CAVES =
      new TrialWorkload(
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
   * The traffic of one request class.
   *
   * @param share the share of the requests of the service, from 0 to 1
   * @param meanTokens the mean number of output tokens of a model's answer; 0 for a plain service
   * @param deadlineSeconds the time from arrival to the deadline
   * @param queueLimit the maximum number of requests that wait at one router
   */
  record Traffic(
      String name,
      Urgency urgency,
      double share,
      int meanTokens,
      int deadlineSeconds,
      int queueLimit) {}

  /** An upstream with its traffic; its capacity is the number of slots of one replica. */
  record Service(String name, int replicas, int capacity, List<Traffic> traffic) {
    boolean isModel() {
      return traffic.get(0).meanTokens() > 0;
    }

    RequestClass requestClass(Traffic classTraffic) {
      return new RequestClass(
          RequestClassId.of(classTraffic.name()),
          classTraffic.urgency(),
          UpstreamId.of(name),
          null,
          4096,
          0,
          classTraffic.deadlineSeconds() * 1000L,
          classTraffic.queueLimit());
    }
  }

  static List<TrialWorkload> all() {
    return List.of(KILIMANJARO, CAVES);
  }

  List<Service> services() {
    return List.of(model, plain);
  }
}
