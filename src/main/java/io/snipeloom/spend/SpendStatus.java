package io.snipeloom.spend;

/**
 * The figures by which an instance decides about requests of a customer.
 *
 * @param availableTokens the claimed tokens of the instance that can be reserved
 * @param allowed the tokens that the usage reports allow to be used now
 * @param claimed the claimed total of all instances, as last read
 * @param limit the prepaid total
 * @param ageMillis the time since the claimed total was last confirmed by the store, in
 *     milliseconds; -1 if it is not loaded
 */
public record SpendStatus(
    long availableTokens, long allowed, long claimed, long limit, long ageMillis) {}
