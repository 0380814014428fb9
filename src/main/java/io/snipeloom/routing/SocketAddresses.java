package io.snipeloom.routing;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses socket addresses that others wrote, without looking up names.
 *
 * <p>Stateless and thread-safe.
 */
public final class SocketAddresses {
  private static final Pattern ADDRESS = Pattern.compile("([0-9.]{7,15}):([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Parses an IPv4 address and a port, separated by a colon.
   *
   * @param text the text form
   * @return the address; empty if the text has another form, or a number is out of range
   */
  public static Optional<InetSocketAddress> parse(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matcher.group(2));
    byte[] octets = NetUtil.createByteArrayFromIpAddressString(matcher.group(1));
    if (port < 1 || port > MAX_PORT || octets == null) {
      return Optional.empty();
    }
    return Optional.of(new InetSocketAddress(ofOctets(octets), port));
  }

  private static InetAddress ofOctets(byte[] octets) {
    try {
      return InetAddress.getByAddress(octets);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an address of 4 octets", e);
    }
  }
}
