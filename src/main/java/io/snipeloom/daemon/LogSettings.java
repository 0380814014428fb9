package io.snipeloom.daemon;

import io.snipeloom.client.ClientTimeouts;
import io.snipeloom.client.HttpLogService;
import java.net.URI;
import java.util.List;

/**
 * The location of the log service and the name of the decision stream.
 *
 * @param addresses the base URLs of the log service
 * @param stream the name of the decision stream
 */
public record LogSettings(List<String> addresses, String stream) {

  /** Makes a defensive copy of the addresses. */
  public LogSettings {
    addresses = List.copyOf(addresses);
  }

  /** Creates a client of the log service. */
  HttpLogService open() {
    return HttpLogService.of(
        addresses.stream().map(URI::create).toList(), ClientTimeouts.standard());
  }
}
