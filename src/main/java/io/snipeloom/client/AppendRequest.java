package io.snipeloom.client;

/**
 * The body of an append to the log.
 *
 * @param data the record, in base64 on the wire; not to be modified
 */
public record AppendRequest(byte[] data) {}
