package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import io.snipeloom.transport.HttpHost;

/**
 * The administration interface of a stand-in: reads and sets its faults, and silences or closes its
 * open connections.
 */
@Controller
@Consumes(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = StandinServer.ADMIN_SURFACE)
final class FaultsController {
  private final FaultControl control;

  FaultsController(FaultControl control) {
    this.control = control;
  }

  @Get("/faults")
  byte[] faults() {
    return StandinJson.write(control.faults());
  }

  @Put("/faults")
  byte[] replace(@Body byte[] body) {
    control.set(StandinJson.read(body, Faults.class));
    return faults();
  }

  @Post("/connections/silence")
  void silence() {
    control.silenceOpenConnections();
  }

  @Post("/connections/close")
  void close() {
    control.closeOpenConnections();
  }
}
