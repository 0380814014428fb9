package io.snipeloom.edge;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would end the process otherwise.
 *
 * <p>The JDK offers signals only in the module jdk.unsupported, whose types the compiler rejects
 * under this project's settings, so they are reached by reflection.
 */
final class SighupHandler {
  private SighupHandler() {}

  /**
   * Runs a task at each SIGHUP.
   *
   * @param task the task
   * @throws ReflectiveOperationException if the runtime has no such module
   */
  static void handle(Runnable task) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    Object proxy =
        Proxy.newProxyInstance(
            SighupHandler.class.getClassLoader(),
            new Class<?>[] {handler},
            (self, method, args) -> {
              task.run();
              return null;
            });
    Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
    signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
  }
}
