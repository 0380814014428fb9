package io.snipeloom.coordination;

import io.snipeloom.state.Incarnation;

/**
 * The part of a budget that one holder has claimed.
 *
 * @param holder the holder
 * @param heldTokens the tokens claimed and neither returned nor settled
 * @param closed whether the holder is closed and only settles old work
 */
public record HolderBalance(Incarnation holder, long heldTokens, boolean closed) {}
