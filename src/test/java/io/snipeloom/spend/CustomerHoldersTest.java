package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CustomerHoldersTest {
  private static final CustomerId CUSTOMER = CustomerId.of("customer");

  @Test
  void eachInstanceOfSmallFleetClaimsForItself() {
    assertThat(roles(CustomerHolders.MAX_EVEN_FLEET), everyItem(is(ClaimRole.EVEN)));
    assertThat(holders(0, CustomerHolders.MAX_EVEN_FLEET).othersOf(CUSTOMER), is(List.of()));
  }

  @Test
  void instancesOfLargeFleetAgreeOnThreeHolders() {
    for (int instances : new int[] {9, 33, 300}) {
      List<ClaimRole> roles = roles(instances);
      long found = roles.stream().filter(role -> role == ClaimRole.HOLDER).count();
      assertThat("holders of " + instances, found, is((long) CustomerHolders.HOLDERS));
      for (int i = 0; i < instances; i++) {
        for (String name : holders(i, instances).othersOf(CUSTOMER)) {
          ClaimRole role = roles.get(Integer.parseInt(name.substring("edge-".length())));
          boolean ownPlaceGoesToTheNext = roles.get(i) == ClaimRole.HOLDER;
          assertThat(role == ClaimRole.HOLDER || ownPlaceGoesToTheNext, is(true));
        }
      }
    }
  }

  /** Guards against a few instances that hold the tokens of all customers. */
  @Test
  void customersHaveDifferentHolders() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      names.addAll(holders(0, 33).othersOf(CustomerId.of("customer-" + i)));
    }
    assertThat(names.size(), is(32));
  }

  private static List<ClaimRole> roles(int instances) {
    List<ClaimRole> roles = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      roles.add(holders(i, instances).roleOf(CUSTOMER));
    }
    return roles;
  }

  private static CustomerHolders holders(int own, int instances) {
    Set<String> others = new HashSet<>();
    for (int i = 0; i < instances; i++) {
      if (i != own) {
        others.add("edge-" + i);
      }
    }
    return new CustomerHolders("edge-" + own, others);
  }
}
