package io.snipeloom.cost;

/**
 * One request in the work of a replica: its output to come shrinks with each event, and once it
 * exceeds the estimate, a part of what came is expected again. Not thread-safe.
 */
public final class RunningOutput {
  /** The part of the output so far that is expected to follow once the estimate is exceeded. */
  private static final double FURTHER_SHARE = 0.3;

  private final ReplicaWork work;
  private final double estimate;
  private final double promptTokens;
  private double outputLeft;
  private double produced;
  private boolean ended;

  /**
   * Adds a request.
   *
   * @param work the work of the replica
   * @param cost what the request is likely to cost
   * @param uncachedTokens the prompt tokens that no other request shares
   */
  public RunningOutput(ReplicaWork work, RequestCost cost, long uncachedTokens) {
    this.work = work;
    this.estimate = cost.outputTokens();
    this.promptTokens = uncachedTokens;
    this.outputLeft = cost.outputTokens();
    work.add(outputLeft, promptTokens + outputLeft);
  }

  /**
   * Records the output so far.
   *
   * @param tokens all output tokens so far
   */
  public void onOutput(double tokens) {
    if (ended || tokens <= produced) {
      return;
    }
    double left = Math.max(estimate - tokens, tokens * FURTHER_SHARE);
    work.add(left - outputLeft, left - outputLeft + tokens - produced);
    outputLeft = left;
    produced = tokens;
  }

  /** Takes the request out of the work of the replica. */
  public void end() {
    if (!ended) {
      ended = true;
      work.add(-outputLeft, -(promptTokens + outputLeft + produced));
    }
  }

  /** Returns the output so far, in tokens. */
  public double produced() {
    return produced;
  }

  /** Returns the output that was estimated when the request was sent, in tokens. */
  public double estimate() {
    return estimate;
  }
}
