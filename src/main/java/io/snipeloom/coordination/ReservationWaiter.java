package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import java.util.concurrent.CompletableFuture;

/** A reservation that waits for tokens until a deadline, in nanoseconds on the holder's clock. */
record ReservationWaiter(
    AttemptId attempt, long tokens, long deadlineNanos, CompletableFuture<Reservation> result) {}
