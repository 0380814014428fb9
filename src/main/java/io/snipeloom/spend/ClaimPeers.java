package io.snipeloom.spend;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The other instances, which remember claims that a store may have lost. */
public interface ClaimPeers {

  /** No other instances. */
  ClaimPeers NONE =
      new ClaimPeers() {
        @Override
        public Set<String> names() {
          return Set.of();
        }

        @Override
        public void ask(String name, long era, Consumer<List<CustomerPart>> listener) {}

        @Override
        public void tell(List<CustomerPart> parts) {}
      };

  /** Returns the names of the other live instances. */
  Set<String> names();

  /**
   * Asks an instance which claims it knows. From its answer on it claims nothing by what it knew of
   * an earlier era.
   *
   * @param name the instance
   * @param era the era of the store
   * @param listener receives all recent claims that the instance knows; not called if it does not
   *     answer
   */
  void ask(String name, long era, Consumer<List<CustomerPart>> listener);

  /** Tells a few instances of new claims, so that they are remembered if this instance dies. */
  void tell(List<CustomerPart> parts);
}
