package io.snipeloom.transport;

import com.codahale.metrics.MetricRegistry;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Produces;
import java.util.List;

/** The HTTP API for monitoring a process: metrics, health and readiness. */
@Controller
@Requires(property = HttpHost.SURFACE, value = OperationsController.SURFACE)
public final class OperationsController {
  /** The name of the API; see {@link HttpHost#SURFACE}. */
  public static final String SURFACE = "operations";

  private final MetricRegistry metrics;
  private final Readiness readiness;

  OperationsController(MetricRegistry metrics, Readiness readiness) {
    this.metrics = metrics;
    this.readiness = readiness;
  }

  @Get("/metrics")
  @Produces(MetricsText.CONTENT_TYPE)
  String metrics() {
    return MetricsText.of(metrics);
  }

  @Get("/health")
  @Produces(MediaType.APPLICATION_JSON)
  HealthBody health() {
    return new HealthBody("up");
  }

  @Get("/ready")
  @Produces(MediaType.APPLICATION_JSON)
  HttpResponse<ReadinessBody> ready() {
    if (readiness.isReady()) {
      return HttpResponse.ok(new ReadinessBody(true, List.of()));
    }
    return HttpResponse.<ReadinessBody>status(HttpStatus.SERVICE_UNAVAILABLE)
        .body(new ReadinessBody(false, readiness.reasons()));
  }
}
