package io.snipeloom.spend;

/**
 * A time that the time-of-day clock of an instance had certainly reached at some moment.
 *
 * @param instance the name of the instance
 * @param wallMillis the time of day, in milliseconds since the Unix epoch
 */
public record ClockReading(String instance, long wallMillis) {}
