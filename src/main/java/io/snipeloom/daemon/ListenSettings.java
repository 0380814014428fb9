package io.snipeloom.daemon;

/**
 * The address and port on which a server listens.
 *
 * @param address the IP address
 * @param port the TCP port; 0 lets the operating system choose one
 */
public record ListenSettings(String address, int port) {}
