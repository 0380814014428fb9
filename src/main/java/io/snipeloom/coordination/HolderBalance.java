package io.snipeloom.coordination;

import io.snipeloom.state.Incarnation;

/**
 * The tokens of a budget that one holder has claimed.
 *
 * @param holder the holder
 * @param heldTokens the tokens claimed and not yet returned or settled
 * @param closed whether the holder is closed, so that only its earlier attempts are still settled
 */
public record HolderBalance(Incarnation holder, long heldTokens, boolean closed) {}
