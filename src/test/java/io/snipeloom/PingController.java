package io.snipeloom;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.snipeloom.state.Zone;
import io.snipeloom.transport.HttpHost;

@Controller
@Requires(property = HttpHost.SURFACE, value = "ping")
class PingController {
  private final Zone zone;

  PingController(Zone zone) {
    this.zone = zone;
  }

  @Get("/ping")
  String ping() {
    return zone.value();
  }
}
