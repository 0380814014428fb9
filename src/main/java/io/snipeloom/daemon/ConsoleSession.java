package io.snipeloom.daemon;

import java.time.Instant;

/**
 * A console session of a signed-in operator.
 *
 * @param operator the operator
 * @param nonce random text that binds form tokens to this session
 * @param startedAt when the operator signed in
 * @param expiresAt when the session expires unless it is renewed
 */
record ConsoleSession(String operator, String nonce, Instant startedAt, Instant expiresAt) {}
