package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;

/**
 * A part of the claimed total of a customer, as instances tell it to each other.
 *
 * @param customer the customer
 * @param part the part
 */
public record CustomerPart(CustomerId customer, ClaimPart part) {}
