package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import io.snipeloom.transport.HttpHost;
import jakarta.inject.Singleton;

/**
 * Installs a {@link ConnectionFaults} as the first handler in the pipeline of each connection of a
 * stand-in.
 */
@Singleton
@Requires(property = HttpHost.SURFACE, pattern = StandinServer.SURFACE_PATTERN)
final class ConnectionFaultInstaller
    implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {
  private final FaultControl control;

  ConnectionFaultInstaller(FaultControl control) {
    this.control = control;
  }

  @Override
  public NettyServerCustomizer.Registry onCreated(
      BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
    NettyServerCustomizer.Registry registry = event.getBean();
    registry.register(new Customizer(control.connections(), null));
    return registry;
  }

  private record Customizer(Connections connections, Channel channel)
      implements NettyServerCustomizer {

    @Override
    public NettyServerCustomizer specializeForChannel(Channel newChannel, ChannelRole role) {
      return role == ChannelRole.CONNECTION ? new Customizer(connections, newChannel) : this;
    }

    @Override
    public void onInitialPipelineBuilt() {
      if (channel != null) {
        channel.pipeline().addFirst(connections.accept(channel));
      }
    }
  }
}
