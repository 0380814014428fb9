package io.snipeloom.daemon;

import io.snipeloom.client.ClientTimeouts;
import io.snipeloom.client.HttpLogService;
import java.net.URI;
import java.util.List;

/**
 * Where the log service is and which stream carries the decisions.
 *
 * @param addresses the base addresses of the log service
 * @param stream the name of the decision stream
 */
public record LogSettings(List<String> addresses, String stream) {

  /** Copies the addresses. */
  public LogSettings {
    addresses = List.copyOf(addresses);
  }

  /**
   * Opens a client.
   *
   * @return the client
   */
  HttpLogService open() {
    return HttpLogService.of(
        addresses.stream().map(URI::create).toList(), ClientTimeouts.standard());
  }
}
