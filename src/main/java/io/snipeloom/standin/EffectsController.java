package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.snipeloom.transport.HttpHost;

/** Reports the effects at a plain service over its administration interface. */
@Controller
@Requires(property = HttpHost.SURFACE, value = StandinServer.ADMIN_SURFACE)
@Requires(beans = Effects.class)
final class EffectsController {
  private final Effects effects;

  EffectsController(Effects effects) {
    this.effects = effects;
  }

  @Get("/effects")
  byte[] report() {
    return StandinJson.write(effects.report());
  }
}
