package io.snipeloom.daemon;

/**
 * Where a server listens.
 *
 * @param address the IP address
 * @param port the TCP port; 0 lets the system choose
 */
public record ListenSettings(String address, int port) {}
