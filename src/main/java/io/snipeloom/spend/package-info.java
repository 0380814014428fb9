/**
 * Keeps the spend of each customer within its prepaid tokens, over all instances and restarts.
 *
 * <p>A ledger in a store that outlives the instances holds, for each customer, the tokens that all
 * instances together have claimed so far. An instance claims by a write that succeeds only if
 * nothing was written since it last read, and spends only what it has claimed. Tokens of an
 * instance that died stay claimed. Everything here is free of network and clocks and belongs to one
 * event loop.
 */
package io.snipeloom.spend;
