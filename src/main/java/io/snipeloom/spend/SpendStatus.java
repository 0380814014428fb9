package io.snipeloom.spend;

/**
 * The figures by which an instance decides about requests of a customer.
 *
 * @param availableTokens the claimed tokens of the instance that can be reserved
 * @param allowedTokens the tokens that the usage reports allow to be used now
 * @param reservedTokens the tokens that running requests have reserved at the most
 * @param spentTokens the tokens that requests of this incarnation have consumed
 * @param claimedTokens the claimed total of all instances, as last read
 * @param limit the prepaid total
 * @param ageMillis the time since the claimed total was last confirmed by the store, in
 *     milliseconds; -1 if it is not loaded
 */
public record SpendStatus(
    long availableTokens,
    long allowedTokens,
    long reservedTokens,
    long spentTokens,
    long claimedTokens,
    long limit,
    long ageMillis) {}
