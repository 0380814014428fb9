package io.snipeloom.edge;

import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP, whose default action would terminate the process.
 *
 * <p>The JDK provides signal handling only in the module jdk.unsupported. The compiler settings of
 * this project reject its types, so they are accessed by reflection.
 */
final class SighupHandler {
  private SighupHandler() {}

  /**
   * Runs a task on each SIGHUP.
   *
   * @throws ReflectiveOperationException if the Java runtime lacks the module jdk.unsupported
   */
  static void install(Runnable task) throws ReflectiveOperationException {
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
