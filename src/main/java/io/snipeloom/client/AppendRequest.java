package io.snipeloom.client;

/**
 * The request body of an append to the log.
 *
 * @param data the content of the record, encoded as base64 in JSON; not copied, so it must not be
 *     modified
 */
public record AppendRequest(byte[] data) {}
