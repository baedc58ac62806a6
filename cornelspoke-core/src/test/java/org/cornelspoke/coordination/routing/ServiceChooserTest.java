package org.cornelspoke.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.config.WeightedService;
import org.junit.jupiter.api.Test;

/** Guards against services of a route that get more or fewer requests than their weight. */
final class ServiceChooserTest {

  private final ServiceChooser chooser = new ServiceChooser();

  @Test
  void keepsWeightsOverShortSequences() {
    Route route = route(90, 10);

    for (int sequence = 0; sequence < 5; sequence++) {
      assertThat(choose(route, 10).count(new ServiceName("s1"))).isEqualTo(1);
    }
  }

  @Test
  void keepsUnevenWeightsOfSeveralServices() {
    Multiset<ServiceName> chosen = choose(route(60, 30, 10), 100);

    assertThat(chosen.count(new ServiceName("s0"))).isEqualTo(60);
    assertThat(chosen.count(new ServiceName("s1"))).isEqualTo(30);
    assertThat(chosen.count(new ServiceName("s2"))).isEqualTo(10);
  }

  @Test
  void choosesNoServiceWithZeroWeight() {
    assertThat(choose(route(0, 5), 100).count(new ServiceName("s0"))).isEqualTo(0);
  }

  @Test
  void appliesChangedWeights() {
    choose(route(90, 10), 7);

    assertThat(choose(route(50, 50), 100).count(new ServiceName("s0"))).isEqualTo(50);
  }

  private Multiset<ServiceName> choose(Route route, int requests) {
    Multiset<ServiceName> chosen = HashMultiset.create();
    for (int i = 0; i < requests; i++) {
      chosen.add(chooser.choose(route));
    }
    return chosen;
  }

  private static Route route(double... weights) {
    List<WeightedService> services = new ArrayList<>();
    for (double weight : weights) {
      services.add(new WeightedService(new ServiceName("s" + services.size()), weight));
    }
    return new Route(
        new RouteId("r"),
        "a.example",
        Route.ANY_METHOD,
        "/a/",
        services,
        TrafficClass.INTERACTIVE,
        true,
        true,
        1_000,
        500,
        2);
  }
}
