package io.snipeloom.spend;

/**
 * What an instance knows of a customer's tokens when it decides about a request.
 *
 * @param availableTokens the tokens in hand
 * @param allowed the tokens that the usage reports allow to be used now
 * @param claimed the claimed total of all instances, as last read
 * @param limit the prepaid total
 * @param ageMillis the time since the total was read, in milliseconds; -1 if it never was
 */
public record SpendStatus(
    long availableTokens, long allowed, long claimed, long limit, long ageMillis) {}
