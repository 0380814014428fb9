package io.snipeloom.daemon;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.client.Instance;
import io.snipeloom.coordination.LinkSettings;
import io.snipeloom.coordination.SidecarLink;
import io.snipeloom.coordination.SidecarLinkFactory;
import io.snipeloom.coordination.TcpSidecarLink;
import io.snipeloom.transport.FrameClient;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Opens TCP links to sidecars. Thread-safe. */
final class TcpLinkFactory implements SidecarLinkFactory {
  private final FrameClient client;
  private final LongSupplier nanoClock;
  private final RandomGenerator random;
  private final MetricRegistry metrics;

  TcpLinkFactory(
      FrameClient client, LongSupplier nanoClock, RandomGenerator random, MetricRegistry metrics) {
    this.client = client;
    this.nanoClock = nanoClock;
    this.random = random;
    this.metrics = metrics;
  }

  @Override
  public SidecarLink open(Instance instance) {
    TcpSidecarLink link =
        TcpSidecarLink.of(instance, client, LinkSettings.standard(), nanoClock, random, metrics);
    link.start();
    return link;
  }

  @Override
  public void close(SidecarLink link) {
    ((TcpSidecarLink) link).stop();
  }
}
