/**
 * Keeps the spend of each customer within its prepaid tokens, across all instances and restarts.
 *
 * <p>A ledger in a store that outlives the instances records, for each customer, the total of
 * tokens that all instances together have claimed. An instance claims tokens by a conditional
 * write, which succeeds only if nothing was written since the instance last read. It spends only
 * tokens that it has claimed, borrowed or inherited. The tokens of an instance that died stay
 * claimed; its next incarnation inherits those that are certainly unused. A total names the parts
 * of it that changed lately, by which claims are restored if the store comes back from an older
 * copy. The classes perform no network access, read no clock, and are confined to one event loop
 * thread.
 */
package io.snipeloom.spend;
