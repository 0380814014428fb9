package io.snipeloom.spend;

/** What an instance does for a customer: for whom it claims tokens ahead. */
enum ClaimRole {
  /** Claims ahead for its own requests, in proportion to its share of the recent claims. */
  EVEN {
    @Override
    double share(double claimShare, double minShare) {
      return Math.max(claimShare, minShare);
    }

    @Override
    double demand(double ownTokensPerSecond, double fleetTokensPerSecond) {
      return ownTokensPerSecond;
    }

    @Override
    long burst(long usualTokens, long available, double claimShare) {
      return Math.min(usualTokens, available / MAX_BURST_DIVISOR);
    }

    @Override
    double steady(double ownTokensPerSecond, double fleetTokensPerSecond, double claimShare) {
      return ownTokensPerSecond;
    }

    @Override
    long loan(LoanRequest request, long available) {
      return Math.min(request.wantedTokens(), available / SCARCE_LOAN_DIVISOR);
    }
  },
  /** Claims ahead for the requests of all instances, with the other holders. */
  HOLDER {
    @Override
    double share(double claimShare, double minShare) {
      return HOLDER_SHARE;
    }

    @Override
    double demand(double ownTokensPerSecond, double fleetTokensPerSecond) {
      return Math.max(ownTokensPerSecond, fleetTokensPerSecond / CustomerHolders.HOLDERS);
    }

    /** In an outage the requests of all instances come at once, as loans. */
    @Override
    long burst(long usualTokens, long available, double claimShare) {
      return EVEN.burst(HOLDER_BURSTS * usualTokens, available, claimShare);
    }

    @Override
    double steady(double ownTokensPerSecond, double fleetTokensPerSecond, double claimShare) {
      return demand(ownTokensPerSecond, fleetTokensPerSecond);
    }

    /** All borrowers come at once in an outage, so none gets more than its request needs. */
    @Override
    long loan(LoanRequest request, long available) {
      return Math.min(request.missingTokens(), available);
    }
  },
  /** Claims ahead only if most requests of the customer arrive here. */
  BORROWER {
    @Override
    double share(double claimShare, double minShare) {
      return claimShare > MAJORITY ? claimShare : 0;
    }

    @Override
    double demand(double ownTokensPerSecond, double fleetTokensPerSecond) {
      return ownTokensPerSecond;
    }

    /** What is left of earlier claims stays unused, so that it is not lost with the instance. */
    @Override
    long burst(long usualTokens, long available, double claimShare) {
      return claimShare > MAJORITY ? EVEN.burst(usualTokens, available, claimShare) : 0;
    }

    @Override
    double steady(double ownTokensPerSecond, double fleetTokensPerSecond, double claimShare) {
      return claimShare > MAJORITY ? ownTokensPerSecond : 0;
    }

    @Override
    long loan(LoanRequest request, long available) {
      return EVEN.loan(request, available);
    }
  };

  /** The share of each holder; more than its part, so that two of them carry an outage. */
  private static final double HOLDER_SHARE = 0.45;

  /** The share of the recent claims from which most requests arrive at one instance. */
  private static final double MAJORITY = 0.5;

  /** The burst of an instance is at most its available tokens divided by this number. */
  private static final int MAX_BURST_DIVISOR = 3;

  /** The burst of a holder, as a multiple of that of an instance that claims for itself. */
  private static final int HOLDER_BURSTS = 3;

  /**
   * While the lender cannot claim more tokens, it lends at most its available tokens divided by
   * this number at a time.
   */
  private static final int SCARCE_LOAN_DIVISOR = 2;

  /**
   * Returns the share of this instance in what all instances may claim ahead, from 0 to 1.
   *
   * @param claimShare its share in the recent claims
   * @param minShare the share of an instance without recent claims
   */
  abstract double share(double claimShare, double minShare);

  /**
   * Returns the tokens a second that this instance claims ahead for.
   *
   * @param ownTokensPerSecond its own recent use
   * @param fleetTokensPerSecond the recent claims of all instances
   */
  abstract double demand(double ownTokensPerSecond, double fleetTokensPerSecond);

  /**
   * Returns the tokens that a usage report allows to be used at once.
   *
   * @param usualTokens what a few requests of the usual size need
   * @param available the available tokens
   * @param claimShare its share in the recent claims
   */
  abstract long burst(long usualTokens, long available, double claimShare);

  /**
   * Returns the further tokens that a usage report allows to be used for each second. Tokens that
   * are claimed or borrowed after the report are allowed besides.
   *
   * @param ownTokensPerSecond its own recent use
   * @param fleetTokensPerSecond the recent claims of all instances
   * @param claimShare its share in the recent claims
   */
  abstract double steady(double ownTokensPerSecond, double fleetTokensPerSecond, double claimShare);

  /**
   * Returns the tokens that are lent while they cannot be replaced by a claim.
   *
   * @param request what the borrower needs and wants
   * @param available the available tokens
   */
  abstract long loan(LoanRequest request, long available);
}
